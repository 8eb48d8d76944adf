"""What the agent tells routers about itself."""

from lavenderfold.agent._load import TargetView
from lavenderfold.agent._run_table import RunTable
from lavenderfold.agent._settings import AgentSettings
from lavenderfold.messages import AgentHello, LoadReport


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
