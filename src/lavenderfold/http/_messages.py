"""HTTP request and response types."""

from collections.abc import Iterable

import msgspec


class MalformedRequestError(Exception):
    """The peer sent an invalid request. ``status`` is the status to respond with."""

    def __init__(self, message: str, *, status: int = 400):
        super().__init__(message)
        self.status = status


class BodyTooLargeError(MalformedRequestError):
    """The body is longer than the server accepts."""

    def __init__(self, limit: int):
        super().__init__(f"the body is longer than {limit} bytes", status=413)
        self.limit = limit


class RefusedForMemoryError(MalformedRequestError):
    """The process has no memory for the request, which wasn't passed on."""

    def __init__(self):
        super().__init__("no memory is left for the request", status=503)


def decode_headers(headers: Iterable[tuple[bytes, bytes]]) -> list[tuple[str, str]]:
    """Return headers with values as Latin-1 text, which stands for any bytes."""
    return [(name.decode("ascii"), value.decode("latin-1")) for name, value in headers]


def encode_headers(headers: Iterable[tuple[str, str]]) -> list[tuple[bytes, bytes]]:
    """Return the bytes of headers that ``decode_headers`` decoded."""
    return [(name.encode("ascii"), value.encode("latin-1")) for name, value in headers]


class HttpRequest(msgspec.Struct, kw_only=True):
    """A request with its complete body.

    Header names are lower case; values are Latin-1 text. ``sent_after`` is a time, on
    the trio clock, before which its caller didn't wait for the server: nothing of it
    had arrived, or the server waited for the caller.
    """

    method: str
    target: str
    headers: list[tuple[str, str]] = msgspec.field(default_factory=list)
    body: bytes = b""
    sent_after: float | None = None

    @property
    def path(self) -> str:
        return self.target.partition("?")[0]

    @property
    def query(self) -> str:
        return self.target.partition("?")[2]

    def header(self, name: str) -> str | None:
        """Return the value of a header, or None if it is absent.

        Raises MalformedRequestError if the header is given more than once.
        """
        values = [value for key, value in self.headers if key == name]
        if len(values) > 1:
            raise MalformedRequestError(f"header {name} is given more than once")
        return values[0] if values else None


class HttpResponse(msgspec.Struct, kw_only=True):
    """A response with its complete body.

    Header names are lower case; values are Latin-1 text.
    """

    status: int
    headers: list[tuple[str, str]] = msgspec.field(default_factory=list)
    body: bytes = b""

    def header(self, name: str) -> str | None:
        for key, value in self.headers:
            if key == name:
                return value
        return None


def json_response(status: int, value: object) -> HttpResponse:
    """Return a response whose body is ``value`` as JSON."""
    return HttpResponse(
        status=status,
        headers=[("content-type", "application/json")],
        body=msgspec.json.encode(value),
    )
