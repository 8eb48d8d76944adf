"""Entry point of ``lavenderfoldctl``."""

import sys
from collections.abc import Sequence

import trio

from lavenderfold.ctl import _changes, _reports
from lavenderfold.ctl._errors import EXIT_SUCCESS, BadInputError, CommandError
from lavenderfold.ctl._explain_route import explain_route
from lavenderfold.ctl._options import USAGE, parse_options

COMMAND_BY_NAME = {
    "check": _changes.check,
    "plan": _changes.plan,
    "apply": _changes.apply,
    "status": _reports.status,
    "budget": _reports.budget,
    "explain": _reports.explain,
    "explain-route": explain_route,
    "refusals": _reports.refusals,
    "crashes": _reports.crashes,
}


def main(argv: Sequence[str]) -> int:
    """Run the command given in ``argv`` and return the exit code."""
    try:
        options = parse_options(argv)
        if options.help:
            print(USAGE, end="")
            return EXIT_SUCCESS
        command = COMMAND_BY_NAME.get(options.command)
        if command is None:
            known_names = ", ".join(COMMAND_BY_NAME)
            raise BadInputError(
                f"expected a command, one of {known_names}, got {options.command!r}"
            )
        trio.run(command, options)
    except CommandError as error:
        print(error, file=sys.stderr)
        return error.exit_code
    return EXIT_SUCCESS


def run() -> None:
    """Run the command given in ``sys.argv`` and exit with its exit code."""
    sys.exit(main(sys.argv))


if __name__ == "__main__":
    run()
