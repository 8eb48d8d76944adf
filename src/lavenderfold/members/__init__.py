"""Incarnations of routers: registration, fencing and reclaim."""

from lavenderfold.members._gate import FenceGate
from lavenderfold.members._reclaim import ReclaimPlan
from lavenderfold.members._record import Member, MemberDecodeError, MemberRecord

__all__ = [
    "FenceGate",
    "Member",
    "MemberDecodeError",
    "MemberRecord",
    "ReclaimPlan",
]
