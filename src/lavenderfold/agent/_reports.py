"""What the agent tells routers about itself."""

from collections import Counter

from lavenderfold.agent._load import TargetView
from lavenderfold.agent._run_table import RunTable
from lavenderfold.agent._settings import AgentSettings
from lavenderfold.messages import AgentHello, FenceReport, LoadReport


def hello(settings: AgentSettings, view: TargetView, boot_id: str) -> AgentHello:
    """Return the first message of a link."""
    return AgentHello(
        target=settings.target,
        boot_id=boot_id,
        region=settings.region,
        failure_domain=settings.failure_domain,
        models=view.models,
    )


def load_report(
    *,
    table: RunTable,
    view: TargetView,
    slots: int,
    ready: bool,
    draining: bool,
    revision: int,
    prefixes: list[int] | None,
) -> LoadReport:
    """Return the current load; ``prefixes`` of None leaves them unsaid."""
    return LoadReport(
        running=table.running_count,
        queued=table.queued_count,
        queued_tokens=table.queued_tokens,
        slots=slots,
        tokens_per_s=view.tokens_per_s,
        ready=ready,
        draining=draining,
        revision=revision,
        models=view.models,
        prefixes=prefixes or [],
        prefixes_known=prefixes is not None,
    )


def fence_report(
    settings: AgentSettings,
    incarnation: int,
    *,
    held: list[dict[str, int]],
    complete_after: int | None,
) -> FenceReport:
    """Return the answer to a fence; ``held`` are tokens by grant id, to be added."""
    held_by_grant_id: Counter[str] = Counter()
    for tokens_by_grant_id in held:
        held_by_grant_id.update(tokens_by_grant_id)
    return FenceReport(
        target=settings.target,
        incarnation=incarnation,
        held_by_grant_id=dict(held_by_grant_id),
        complete_after=complete_after,
    )
