"""Usage text and parsing of the command line."""

from collections.abc import Sequence

import msgspec
from absl import flags

from lavenderfold.ctl._errors import BadInputError
from lavenderfold.settings import Address, parse_address

USAGE = """\
usage: lavenderfoldctl COMMAND [ARGUMENT] [FLAGS]

  check FOLDER              check a folder of configuration files
  plan FOLDER --store       show what an apply would change
  apply FOLDER --store      apply the folder as the next revision
  status                    show the revision and load of every process
  budget [ORGANISATION]     show limits, spending and open grants
  explain REQUEST-ID        show each decision about a request
  explain-route HOST/PATH   show where a router would send a request now, and why;
                            --routers takes the metrics address of one router
  refusals --logs           show why requests were refused for money
  crashes --logs            show which prompt parts were lost at targets

  --store IP:PORT           the key-value service
  --routers IP:PORT,...     the routers' operator addresses, for status and explain
  --base N                  the revision that the folder was edited from
  --logs FILE,...           routers' JSON log files or folders of them, for refusals,
                            crashes and explain without routers
  --organisation NAME       for explain-route
  --parts ID:TOKENS,...     parts of the prompt, for explain-route
  --json                    prints the answer as JSON, for explain-route
  --token TEXT              repeats an apply whose result is unknown

Exit codes: 0 good, 1 failure, 2 bad input.
"""


class Options(msgspec.Struct, frozen=True, kw_only=True):
    """The parsed command line. ``base`` is a configuration revision number."""

    command: str = ""
    arguments: list[str] = msgspec.field(default_factory=list)
    store: Address | None = None
    routers: list[Address] = msgspec.field(default_factory=list)
    logs: list[str] = msgspec.field(default_factory=list)
    base: int | None = None
    token: str = ""
    organisation: str = ""
    parts: str = ""
    json: bool = False
    help: bool = False

    def argument(self, description: str) -> str:
        """Return the command's single argument, or raise BadInputError.

        ``description`` tells in the error message which argument is expected.
        """
        if len(self.arguments) != 1:
            raise BadInputError(f"{self.command}: expected one argument, {description}")
        return self.arguments[0]

    def require_store(self) -> Address:
        """Return the address given by --store, or raise BadInputError."""
        if self.store is None:
            raise BadInputError("--store: expected IP:PORT of the key-value service")
        return self.store


def parse_options(argv: Sequence[str]) -> Options:
    """Parse ``argv``, whose first item is the program name.

    Raises BadInputError if a flag is unknown or has an invalid value.
    """
    values = _new_flag_values()
    try:
        arguments = values(argv)[1:]
    except flags.Error as error:
        raise BadInputError(str(error)) from error
    return Options(
        command=arguments[0] if arguments else "",
        arguments=arguments[1:],
        store=_parse_address_flag("store", values.store) if values.store else None,
        routers=[_parse_address_flag("routers", text) for text in values.routers],
        logs=values.logs,
        base=values.base,
        token=values.token,
        organisation=values.organisation,
        parts=values.parts,
        json=values.json,
        help=values.help,
    )


def _new_flag_values() -> flags.FlagValues:
    values = flags.FlagValues()
    values.set_gnu_getopt(True)
    flags.DEFINE_string("store", "", "IP:PORT of the store.", flag_values=values)
    flags.DEFINE_list(
        "routers", [], "IP:PORT of routers' operator addresses.", flag_values=values
    )
    flags.DEFINE_list("logs", [], "Routers' log files.", flag_values=values)
    flags.DEFINE_integer(
        "base",
        None,
        "Revision that the folder was edited from.",
        lower_bound=0,
        flag_values=values,
    )
    flags.DEFINE_string("token", "", "Token of an apply to repeat.", flag_values=values)
    flags.DEFINE_string(
        "organisation", "", "Organisation of the request.", flag_values=values
    )
    flags.DEFINE_string("parts", "", "Parts of the prompt.", flag_values=values)
    flags.DEFINE_bool("json", False, "Print JSON.", flag_values=values)
    flags.DEFINE_bool("help", False, "Show the usage.", flag_values=values)
    return values


def _parse_address_flag(flag: str, text: str) -> Address:
    try:
        return parse_address(text)
    except ValueError as error:
        raise BadInputError(f"--{flag}: expected IP:PORT, got {text!r}") from error
