"""The requests that this router carries now or carried lately."""

import logging
from collections import OrderedDict

from lavenderfold.budgets import LedgerClient, pack_request_id
from lavenderfold.identifiers import RequestKey
from lavenderfold.outcomes import MayHaveRun, Ran, Reason
from lavenderfold.router._refusals import AlreadyRan, bad_request, unknown_request
from lavenderfold.router._request_execution import RequestExecution
from lavenderfold.router._requests import CallerRequest
from lavenderfold.router._services import RouterServices

ENDED_KEPT = 2000

logger = logging.getLogger("lavenderfold.router")


class RequestRegistry:
    """Starts requests and finds them by their key."""

    def __init__(self, *, services: RouterServices):
        self.active_count = 0
        self._services = services
        self._life_by_key: dict[RequestKey, RequestExecution] = {}
        self._ended: OrderedDict[RequestKey, RequestExecution] = OrderedDict()

    def start(self, request: CallerRequest) -> RequestExecution:
        """Start a request in a task of its own."""
        life = RequestExecution(services=self._services, request=request)
        self._life_by_key[request.key] = life
        self._ended.pop(request.key, None)
        self.active_count += 1
        self._services.nursery.start_soon(self._run, life)
        return life

    def find(self, key: RequestKey) -> RequestExecution | None:
        """Return the request if it's active or ended lately."""
        return self._life_by_key.get(key) or self._ended.get(key)

    async def _run(self, life: RequestExecution) -> None:
        key = life.request.key
        try:
            await life.run()
        except Exception:
            # A fault in one request must not end those of all other callers.
            logger.exception("request_failed", extra={"request_id": key.request_id})
            life.fail(MayHaveRun(Reason.TARGET_FAILED, "internal error"))
        finally:
            self.active_count -= 1
            life.request = life.request.without_content()
            if self._life_by_key.get(key) is life:
                del self._life_by_key[key]
                self._ended[key] = life
            while len(self._ended) > ENDED_KEPT:
                self._ended.popitem(last=False)


class RequestStateReader:
    """Tells callers the state of their requests."""

    def __init__(self, *, request_registry: RequestRegistry, ledger: LedgerClient):
        self._request_registry = request_registry
        self._ledger = ledger

    async def state(self, key: RequestKey) -> dict:
        """Return the state as JSON fields. Raises RefusedError if unknown."""
        life = self._request_registry.find(key)
        if life is not None:
            return {"request_id": key.request_id, **_state_of(life)}
        record = (await self._ledger.read(key.budget)).ok()
        if record is None:
            raise bad_request(
                "the ledger can't be reached", status=503, kind="unavailable"
            )
        claim = record.claims_by_id.get(pack_request_id(key.request_id))
        tokens = record.usage(key.request_id)
        fields = {"request_id": key.request_id, "state": "ended"}
        if tokens is not None:
            return {**fields, "outcome": "ran", "tokens": tokens}
        if claim is not None:
            is_known = isinstance(claim.outcome, Ran)
            return {**fields, "outcome": "ran" if is_known else "may_have_run"}
        raise unknown_request("no such request")


def _state_of(life: RequestExecution) -> dict:
    outcome = life.outcome
    if isinstance(outcome, AlreadyRan):
        outcome = outcome.outcome
    fields = {
        "state": life.state,
        "route": life.request.route_name,
        "target": life.target,
        "attempts": life.attempts,
    }
    if isinstance(outcome, Ran):
        ran = {"outcome": "ran", "tokens": outcome.tokens, "length": outcome.length}
        return {**fields, **ran, "digest": outcome.digest}
    if outcome is not None:
        name = "may_have_run" if isinstance(outcome, MayHaveRun) else "not_run"
        return {**fields, "outcome": name, "reason": outcome.reason.value}
    return fields
