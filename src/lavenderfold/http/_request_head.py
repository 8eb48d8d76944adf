"""Checks of a request's head that h11 doesn't make."""

import h11

from lavenderfold.http._messages import MalformedRequestError


def check_head(head: h11.Request, *, limit: int) -> None:
    """Check the size and the framing of a request.

    Raises MalformedRequestError.
    """
    # h11 has no limit for a head that arrives in one part.
    size = sum(len(name) + len(value) for name, value in head.headers)
    if size + len(head.target) > limit:
        message = f"the head is longer than {limit} bytes"
        raise MalformedRequestError(message, status=431)
    # Request smuggling: a proxy in front that uses Content-Length could take the rest
    # of a chunked body for another request.
    names = {name for name, _ in head.headers}
    if {b"content-length", b"transfer-encoding"} <= names:
        raise MalformedRequestError("both a length and chunks are given")
