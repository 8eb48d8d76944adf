"""Exit codes, and the errors that end a command with one of them."""

EXIT_SUCCESS = 0
EXIT_FAILURE = 1
EXIT_BAD_INPUT = 2


class CommandError(Exception):
    """A command failed; its message is printed to standard error."""

    exit_code = EXIT_FAILURE


class BadInputError(CommandError):
    """A flag, an argument or a configuration file is invalid."""

    exit_code = EXIT_BAD_INPUT
