"""Checks of a new run against the agent's own state."""

import msgspec

from lavenderfold.agent._runs import is_model_order, worst_case_tokens
from lavenderfold.agent._settings import TargetKind
from lavenderfold.messages import Run
from lavenderfold.outcomes import NotRun, Reason


class AdmissionState(msgspec.Struct, frozen=True, kw_only=True):
    """The agent's state that admission of one run depends on.

    The run table checks its own bounds afterwards.
    """

    kind: TargetKind
    draining: bool
    record_read: bool
    payer_admitted: bool
    target_healthy: bool
    serves_model: bool
    usage_full: bool


def check_admission(order: Run, state: AdmissionState) -> NotRun | None:
    """Return the refusal of an order, or None if the agent may run it."""
    if state.draining:
        return NotRun(Reason.DRAINING)
    if not state.record_read:
        return NotRun(Reason.NOT_READY, "the member record is not read yet")
    if not state.payer_admitted:
        return NotRun(Reason.FENCED, f"incarnation {order.payer}")
    error = _validation_error(order, state)
    if error:
        return NotRun(Reason.INVALID, error)
    if not state.target_healthy:
        return NotRun(Reason.TARGET_FAILED, "the target doesn't answer probes")
    if not state.serves_model:
        return NotRun(Reason.NO_TARGET, f"model {order.model!r} is not served")
    if state.usage_full:
        return NotRun(Reason.OVERLOADED, "too much usage is unsettled")
    return None


def _validation_error(order: Run, state: AdmissionState) -> str:
    if is_model_order(order) != (state.kind is TargetKind.MODEL):
        return f"the target is of kind {state.kind}"
    if is_model_order(order) and order.max_tokens < 1:
        return "max_tokens must be at least 1"
    if worst_case_tokens(order) > order.reserved:
        # The run could use more tokens than the router reserved from the grant.
        return f"needs {worst_case_tokens(order)} tokens, reserved {order.reserved}"
    return ""
