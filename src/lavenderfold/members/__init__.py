"""Registers and fences router incarnations, and plans the reclaim of their grants."""

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
