"""Errors of the command line. Each carries its exit code."""

EXIT_SUCCESS = 0
EXIT_FAILURE = 1
EXIT_BAD_INPUT = 2


class CommandError(Exception):
    """A command failed; the text goes to standard error."""

    exit_code = EXIT_FAILURE


class BadInputError(CommandError):
    """Flags, arguments or configuration files can't be used."""

    exit_code = EXIT_BAD_INPUT
