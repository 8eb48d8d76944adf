"""Messages in which the agent reports its state to routers."""

from collections import Counter
from collections.abc import Callable

from lavenderfold.agent._observed_target import ObservedTarget
from lavenderfold.agent._router_links import RouterLinks
from lavenderfold.agent._run_table import RunTable
from lavenderfold.agent._settings import AgentSettings
from lavenderfold.messages import AgentHello, FenceReport, LoadReport


def make_hello(
    settings: AgentSettings, target: ObservedTarget, boot_id: str
) -> AgentHello:
    """Return the agent's first message on a link."""
    return AgentHello(
        target=settings.target,
        boot_id=boot_id,
        region=settings.region,
        failure_domain=settings.failure_domain,
        models=target.models,
    )


def make_load_report(
    *,
    table: RunTable,
    target: ObservedTarget,
    slots: int,
    ready: bool,
    draining: bool,
    revision: int,
    prefixes: list[int] | None,
) -> LoadReport:
    """Return a report of the current load, without prefixes if they are None."""
    return LoadReport(
        running=table.running_count,
        queued=table.queued_count,
        queued_tokens=table.queued_tokens,
        slots=slots,
        tokens_per_s=target.tokens_per_s,
        ready=ready,
        draining=draining,
        revision=revision,
        models=target.models,
        prefixes=prefixes or [],
        prefixes_known=prefixes is not None,
    )


def make_fence_report(
    settings: AgentSettings,
    incarnation: int,
    *,
    held: list[dict[str, int]],
    complete_after: int | None,
) -> FenceReport:
    """Return the answer to a fence.

    ``held`` are mappings of grant id to tokens, which are added up.
    """
    held_by_grant_id: Counter[str] = Counter()
    for tokens_by_grant_id in held:
        held_by_grant_id.update(tokens_by_grant_id)
    return FenceReport(
        target=settings.target,
        incarnation=incarnation,
        held_by_grant_id=dict(held_by_grant_id),
        complete_after=complete_after,
    )


class LoadReporter:
    """Sends load reports to each router at the period that it requested.

    ``report_due`` is called each ``tick_s``, and a report is sent at the tick that
    is nearest to its time. ``make_report`` takes the prefixes to include, or None.
    """

    def __init__(
        self,
        *,
        links: RouterLinks,
        target: ObservedTarget,
        make_report: Callable[[list[int] | None], LoadReport],
        tick_s: float,
    ):
        self._router_links = links
        self._target = target
        self._make_report = make_report
        self._half_tick_s = tick_s / 2

    def report_all(self, now: float) -> None:
        """Report to all routers immediately, after a change that can't wait."""
        report = self._make_report(None)
        for router in self._router_links.all():
            router.mark_reported(now)
            self._router_links.post(router.number, report)

    def report_due(self, now: float) -> None:
        """Report to each router whose report period has passed."""
        prefixes_changed = self._target.prefixes_to_report(now=now) is not None
        report: LoadReport | None = None
        for router in self._router_links.all():
            router.prefixes_changed |= prefixes_changed
            if now + self._half_tick_s < router.report_due_at:
                continue
            router.mark_reported(now)
            if router.claim_prefix_report(now):
                prefixes = self._target.newest_prefixes()
                self._router_links.post(router.number, self._make_report(prefixes))
                continue
            report = report or self._make_report(None)
            self._router_links.post(router.number, report)
