"""Admission of requests while capacity is scarce, and when refused ones come back."""

from lavenderfold.admission._gate import AdmissionGate
from lavenderfold.admission._retry_after import CALLER_WAIT_SHARE, retry_after_s
from lavenderfold.admission._service_admission import (
    Arrival,
    Entry,
    EntryState,
    ServiceAdmission,
)

__all__ = [
    "CALLER_WAIT_SHARE",
    "AdmissionGate",
    "Arrival",
    "Entry",
    "EntryState",
    "ServiceAdmission",
    "retry_after_s",
]
