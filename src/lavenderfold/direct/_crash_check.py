"""Evidence that the prompt of a lost attempt may have crashed its target."""

import trio

from lavenderfold.direct._attempt import Attempt
from lavenderfold.direct._connections import has_crashed
from lavenderfold.direct._requests import CallerRequest
from lavenderfold.fleet import Target
from lavenderfold.quarantine import CrashKey, LostPrompt, PromptQuarantine
from lavenderfold.timers import TimerService


async def record_crash(
    quarantine: PromptQuarantine,
    timers: TimerService,
    *,
    request: CallerRequest,
    attempt: Attempt,
    target: Target,
    sent_at: float,
) -> None:
    """Record the prompt if the target of a lost attempt has crashed.

    ``sent_at`` is when the request was sent, on the trio clock. An attempt whose target
    was answering, or asked for a pause, proves nothing.
    """
    is_suspect = attempt.is_before_answer and not attempt.is_turned_away
    if not is_suspect or not request.shared_part_ids:
        return
    lost_at = timers.unix_time()
    earlier_crashes = quarantine.earlier_crashes(age_s=trio.current_time() - sent_at)
    if not await has_crashed(target):
        return
    lost = LostPrompt(
        crash=CrashKey(target.id, target.born),
        at=lost_at,
        part_ids=request.shared_part_ids,
        is_begun=attempt.is_begun,
        earlier_crashes=earlier_crashes,
    )
    quarantine.record_loss(lost)
