"""The requests that this router is running or has recently run."""

import logging
from collections import OrderedDict

from lavenderfold.budgets import LedgerClient, pack_request_id
from lavenderfold.identifiers import RequestKey
from lavenderfold.outcomes import MayHaveRun, Ran, Reason
from lavenderfold.router._refusals import (
    AlreadyRan,
    request_error,
    unknown_request_error,
)
from lavenderfold.router._request_execution import RequestExecution
from lavenderfold.router._requests import CallerRequest
from lavenderfold.router._services import RouterServices

ENDED_REQUESTS_KEPT = 2000

logger = logging.getLogger("lavenderfold.router")


class RequestRegistry:
    """Starts requests and finds active and recently ended ones by key."""

    def __init__(self, *, services: RouterServices):
        self.active_count = 0
        self._services = services
        self._active_by_key: dict[RequestKey, RequestExecution] = {}
        self._ended_by_key: OrderedDict[RequestKey, RequestExecution] = OrderedDict()

    def start(self, request: CallerRequest) -> RequestExecution:
        """Start a request in its own task."""
        execution = RequestExecution(services=self._services, request=request)
        self._active_by_key[request.key] = execution
        self._ended_by_key.pop(request.key, None)
        self.active_count += 1
        self._services.nursery.start_soon(self._run, execution)
        return execution

    def find(self, key: RequestKey) -> RequestExecution | None:
        """Return a request that is active or ended recently, or None."""
        return self._active_by_key.get(key) or self._ended_by_key.get(key)

    async def _run(self, execution: RequestExecution) -> None:
        key = execution.request.key
        try:
            await execution.run()
        except Exception:
            # An exception in one request's task would otherwise end the whole
            # router and all its requests.
            logger.exception("request_failed", extra={"request_id": key.request_id})
            execution.fail(MayHaveRun(Reason.TARGET_FAILED, "internal error"))
        finally:
            self.active_count -= 1
            execution.request = execution.request.without_content()
            if self._active_by_key.get(key) is execution:
                del self._active_by_key[key]
                self._ended_by_key[key] = execution
            while len(self._ended_by_key) > ENDED_REQUESTS_KEPT:
                self._ended_by_key.popitem(last=False)


class RequestStateReader:
    """Reads the state of requests, from this router or from the ledger."""

    def __init__(self, *, request_registry: RequestRegistry, ledger: LedgerClient):
        self._request_registry = request_registry
        self._ledger = ledger

    async def state(self, key: RequestKey) -> dict:
        """Return the state of a request as JSON fields.

        Raises RefusedError if the request is unknown or the ledger unreachable.
        """
        execution = self._request_registry.find(key)
        if execution is not None:
            return {"request_id": key.request_id, **_state_of(execution)}
        record = (await self._ledger.read(key.budget)).ok()
        if record is None:
            raise request_error(
                "the ledger can't be reached", status=503, kind="unavailable"
            )
        claim = record.claims_by_id.get(pack_request_id(key.request_id))
        tokens = record.usage(key.request_id)
        fields = {"request_id": key.request_id, "state": "ended"}
        if tokens is not None:
            return {**fields, "outcome": "ran", "tokens": tokens}
        if claim is not None:
            is_outcome_known = isinstance(claim.outcome, Ran)
            return {**fields, "outcome": "ran" if is_outcome_known else "may_have_run"}
        raise unknown_request_error("no such request")


def _state_of(execution: RequestExecution) -> dict:
    outcome = execution.outcome
    if isinstance(outcome, AlreadyRan):
        outcome = outcome.outcome
    fields = {
        "state": execution.state,
        "route": execution.request.route_name,
        "target": execution.target,
        "attempts": execution.attempts,
    }
    if isinstance(outcome, Ran):
        ran = {"outcome": "ran", "tokens": outcome.tokens, "length": outcome.length}
        return {**fields, **ran, "digest": outcome.digest}
    if outcome is not None:
        name = "may_have_run" if isinstance(outcome, MayHaveRun) else "not_run"
        return {**fields, "outcome": name, "reason": outcome.reason.value}
    return fields
