"""The callers' HTTP interface: routing, authentication and refusals."""

import logging
import math

import trio

from lavenderfold.direct._refusals import Refusal, not_run, refusal_response
from lavenderfold.direct._request_execution import RequestExecution
from lavenderfold.direct._requests import CallerRequest
from lavenderfold.direct._router_services import RouterServices
from lavenderfold.direct._sinks import ConfigSink
from lavenderfold.direct._time_limits import is_too_late, time_limits
from lavenderfold.fleet import Organisation, Route, RouteTable
from lavenderfold.http import HttpRequest, ResponseWriter
from lavenderfold.outcomes import Reason

NOT_READY_EXPECTED_S = 0.5
# Requests that arrive before the first configuration wait for it. When all routers
# restart at once, a refused caller would meet another router that isn't ready.
STARTUP_WAIT_S = 1.0
# Short, because other routers can take the request at once.
OTHER_ROUTER_EXPECTED_S = 0.05

logger = logging.getLogger("lavenderfold.requests")


class CallerApi:
    """Serves callers' requests and counts those in progress.

    While ``is_closed`` is set, every request is refused as not run.
    """

    def __init__(self, *, services: RouterServices, config: ConfigSink):
        self.active = 0
        self.is_closed = False
        self._services = services
        self._config = config
        self._idle = trio.Event()
        self._executions: set[RequestExecution] = set()

    async def handle(self, http_request: HttpRequest, writer: ResponseWriter) -> None:
        """Serve one request; raises MalformedRequestError for bad input."""
        request = self._services.codec.read_request(http_request)
        self.active += 1
        try:
            await self._serve(request, writer, _waits_since(http_request))
        finally:
            self.active -= 1
            if self.active == 0:
                self._idle.set()

    async def wait_idle(self) -> None:
        """Wait until no request is in progress."""
        while self.active:
            self._idle = trio.Event()
            await self._idle.wait()

    def refuse_unanswered(self) -> None:
        """Refuse the requests in progress of whose answers nothing was written."""
        for execution in self._executions:
            execution.stop_unless_answering()

    async def _serve(
        self, request: CallerRequest, writer: ResponseWriter, waits_since: float
    ) -> None:
        self._services.metrics.record_unread(trio.current_time() - waits_since)
        table = self._config.table
        if table is None:
            table = await self._config.wait_installed(STARTUP_WAIT_S)
        refusal = self._refuse_all(table)
        if refusal is not None:
            await self._refuse(request, refusal, writer, waits_since)
            return
        route = table.route(request.host, request.path)
        if route is None:
            await self._refuse(
                request, _rejection(404, "unknown_route"), writer, waits_since
            )
            return
        organisation = _organisation(table, route, request)
        if organisation is None and table.requires_keys and not route.is_public:
            await self._refuse(
                request, _rejection(401, "unknown_key"), writer, waits_since
            )
            return
        delay_s = self._services.event_loop_monitor.request_delay_s
        limits = time_limits(
            route, request, waits_since=waits_since, request_delay_s=delay_s
        )
        now = trio.current_time()
        if is_too_late(route, limits, now=now, request_delay_s=delay_s):
            # Another router may still have time for it.
            await self._refuse(
                request, _at_other_router(Reason.OVERLOADED), writer, waits_since
            )
            return
        execution = RequestExecution(
            services=self._services,
            table=table,
            request=request,
            route=route,
            organisation=organisation,
            writer=writer,
            limits=limits,
        )
        self._executions.add(execution)
        try:
            await execution.run()
        finally:
            self._executions.discard(execution)

    def _refuse_all(self, table: RouteTable | None) -> Refusal | None:
        """Return why no request is served now, if that is so."""
        if self.is_closed:
            return _at_other_router(Reason.DRAINING)
        if self._services.event_loop_monitor.is_refusing:
            return _at_other_router(Reason.OVERLOADED)
        if self._services.reachability.is_isolated:
            return _at_other_router(Reason.ISOLATED)
        if table is None:
            return not_run(Reason.NOT_READY, expected_s=NOT_READY_EXPECTED_S)
        return None

    async def _refuse(
        self,
        request: CallerRequest,
        refusal: Refusal,
        writer: ResponseWriter,
        waits_since: float,
    ) -> None:
        table = self._config.table
        fields = {
            "request_id": request.attempt_id,
            "refusal": refusal.reason,
            "status": refusal.status,
            "host": request.host,
            "path": request.path,
            "config_version": table.version if table else None,
        }
        logger.info("request_refused", extra=fields)
        headers = self._services.codec.answer_headers(request.attempt_id)
        # A caller that states no timeout may wait indefinitely.
        caller_deadline = waits_since + (request.caller_timeout_s or math.inf)
        response = refusal_response(
            refusal,
            headers,
            caller_left_s=caller_deadline - trio.current_time(),
            draw=self._services.draw(),
        )
        await writer.send(response)


def _waits_since(http_request: HttpRequest) -> float:
    sent_after = http_request.sent_after
    return trio.current_time() if sent_after is None else sent_after


def _at_other_router(reason: Reason) -> Refusal:
    return not_run(reason, expected_s=OTHER_ROUTER_EXPECTED_S)


def _rejection(status: int, reason: str) -> Refusal:
    return Refusal(status=status, reason=reason, outcome="not_run")


def _organisation(
    table: RouteTable, route: Route, request: CallerRequest
) -> Organisation | None:
    if route.is_public or request.key is None:
        return None
    return table.organisation(request.key)
