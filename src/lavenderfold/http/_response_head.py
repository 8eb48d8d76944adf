"""Checks of a response's head that h11 doesn't make."""

import re

import h11

STATUS_LINE = re.compile(rb"HTTP/[0-9]\.[0-9] [0-9]{3}")
# A response with a higher status has no class by which a caller could interpret it.
MAX_STATUS = 599
HTTP_VERSIONS = frozenset((b"1.0", b"1.1"))


def contains_status_line(head: h11.Response | h11.InformationalResponse) -> bool:
    """Return whether the reason phrase or a header's value contains a status line.

    If a truncated response ends there, h11 takes the next response's status line for
    the rest of that text.
    """
    values = (bytes(value) for _, value in head.headers)
    return STATUS_LINE.search(b"\n".join((bytes(head.reason), *values))) is not None


def unknown_status_line(head: h11.Response) -> str | None:
    """Return what makes the status line unknown to the protocol, or None.

    h11 accepts each status from 200 to 999 and each version of one digit and another.
    """
    if head.status_code > MAX_STATUS:
        return f"the status {head.status_code} is unknown"
    if bytes(head.http_version) not in HTTP_VERSIONS:
        return f"the version {bytes(head.http_version).decode('ascii')} is unknown"
    return None
