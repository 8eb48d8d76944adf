"""Admission of requests while capacity is scarce, and when refused ones come back."""

from lavenderfold.admission._retry_after import CALLER_WAIT_SHARE, retry_after_s

__all__ = ["CALLER_WAIT_SHARE", "retry_after_s"]
