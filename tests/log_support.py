"""Log files for tests of commands that read the logs of routers."""

from pathlib import Path

import msgspec

from lavenderfold.ctl._log_lines import LogLine


def write_log(path: Path, lines: list[LogLine]) -> None:
    """Write lines to a file as a router writes them."""
    texts = [
        msgspec.json.encode(
            {"time": each.time, "process": each.process, "event": each.event}
            | each.fields
        ).decode()
        for each in lines
    ]
    path.write_text("\n".join(texts))
