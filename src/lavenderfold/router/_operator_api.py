"""The HTTP interface for operators."""

from collections.abc import Callable

import msgspec

from lavenderfold.http import HttpRequest, ResponseWriter, json_response
from lavenderfold.router._services import RouterServices

DECISIONS_PREFIX = "/v1/decisions/"


class TargetStatus(msgspec.Struct, frozen=True, kw_only=True):
    """A target as this router sees it."""

    target: str
    connected: bool
    ready: bool
    draining: bool
    revision: int
    running: int
    queued: int


class RouterStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The state of this router."""

    router: str
    incarnation: int
    revision: int
    draining: bool
    targets: list[TargetStatus]


class OperatorApi:
    """Answers operators' HTTP requests."""

    def __init__(
        self,
        *,
        services: RouterServices,
        incarnation: Callable[[], int],
        revision: Callable[[], int],
        is_draining: Callable[[], bool],
    ):
        self._services = services
        self._incarnation = incarnation
        self._revision = revision
        self._is_draining = is_draining

    async def handle(self, request: HttpRequest, writer: ResponseWriter) -> None:
        """Answer one request; the HTTP server calls this."""
        if request.method != "GET":
            await writer.send(json_response(405, {"error": {"type": "use_get"}}))
            return
        if request.path == "/v1/status":
            await writer.send(json_response(200, self._status()))
            return
        events = None
        if request.path.startswith(DECISIONS_PREFIX):
            request_id = request.path.removeprefix(DECISIONS_PREFIX)
            events = self._services.decision_log.events(request_id)
        if events is None:
            await writer.send(json_response(404, {"error": {"type": "unknown"}}))
            return
        await writer.send(json_response(200, {"events": events}))

    def _status(self) -> RouterStatus:
        return RouterStatus(
            router=self._services.settings.router,
            incarnation=self._incarnation(),
            revision=self._revision(),
            draining=self._is_draining(),
            targets=[
                self._target_status(name)
                for name in sorted(self._services.agents.link_by_target)
            ],
        )

    def _target_status(self, name: str) -> TargetStatus:
        report = self._services.load_view.load(name).latest_report
        return TargetStatus(
            target=name,
            connected=self._services.agents.is_connected(name),
            ready=report is not None and report.ready,
            draining=report is not None and report.draining,
            revision=report.revision if report is not None else 0,
            running=report.running if report is not None else 0,
            queued=report.queued if report is not None else 0,
        )
