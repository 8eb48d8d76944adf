"""The message that sends a request to a target's agent."""

import uuid

from lavenderfold.budgets import Reservation
from lavenderfold.messages import Run
from lavenderfold.router._requests import CallerRequest


def make_run(
    request: CallerRequest, reservation: Reservation, *, attempt: int, wait_s: float
) -> Run:
    """Return a new run of the request that may wait for ``wait_s`` at its target."""
    return Run(
        run_id=uuid.uuid4().hex,
        key=request.key,
        attempt=attempt,
        payer=reservation.payer,
        grant_id=reservation.grant_id,
        reserved=reservation.tokens,
        idempotent=request.route.idempotent,
        priority=request.request_class.priority,
        deadline_s=wait_s,
        model=request.route.model,
        prompt=request.prompt,
        max_tokens=request.max_tokens,
        method=request.method,
        path=request.path,
        content_type=request.content_type,
        body=request.body,
        cost_tokens=request.route.cost_tokens,
    )
