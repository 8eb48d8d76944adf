"""Admission control of overloaded services, and Retry-After of refused requests."""

from lavenderfold.admission._gate import AdmissionGate
from lavenderfold.admission._retry_after import CALLER_WAIT_SHARE, retry_after_s
from lavenderfold.admission._service_admission import (
    Arrival,
    Entry,
    EntryState,
    ServiceAdmission,
)
from lavenderfold.admission._target_tokens import TargetTokens

__all__ = [
    "CALLER_WAIT_SHARE",
    "AdmissionGate",
    "Arrival",
    "Entry",
    "EntryState",
    "ServiceAdmission",
    "TargetTokens",
    "retry_after_s",
]
