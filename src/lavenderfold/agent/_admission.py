"""Whether the agent's own state permits a new run."""

import msgspec

from lavenderfold.agent._runs import is_model_order, worst_case_tokens
from lavenderfold.agent._settings import TargetKind
from lavenderfold.messages import Run
from lavenderfold.outcomes import NotRun, Reason


class AgentState(msgspec.Struct, frozen=True, kw_only=True):
    """What admission depends on, apart from the run table's bounds."""

    kind: TargetKind
    draining: bool
    record_read: bool
    payer_admitted: bool
    target_healthy: bool
    serves_model: bool
    usage_full: bool


def refusal(order: Run, state: AgentState) -> NotRun | None:
    """Return why an order is refused, or None."""
    if state.draining:
        return NotRun(Reason.DRAINING)
    if not state.record_read:
        return NotRun(Reason.NOT_READY, "the member record is not read yet")
    if not state.payer_admitted:
        return NotRun(Reason.FENCED, f"incarnation {order.payer}")
    fault = _fault(order, state)
    if fault:
        return NotRun(Reason.INVALID, fault)
    if not state.target_healthy:
        return NotRun(Reason.TARGET_FAILED, "the target doesn't answer probes")
    if not state.serves_model:
        return NotRun(Reason.NO_TARGET, f"model {order.model!r} is not served")
    if state.usage_full:
        return NotRun(Reason.OVERLOADED, "too much usage is unsettled")
    return None


def _fault(order: Run, state: AgentState) -> str:
    if is_model_order(order) != (state.kind is TargetKind.MODEL):
        return f"the target is of kind {state.kind}"
    if is_model_order(order) and order.max_tokens < 1:
        return "max_tokens must be at least 1"
    if worst_case_tokens(order) > order.reserved:
        # Running it could spend more than the grant set aside.
        return f"needs {worst_case_tokens(order)} tokens, reserved {order.reserved}"
    return ""
