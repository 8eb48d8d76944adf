"""Reading a folder of configuration files."""

from pathlib import Path

from lavenderfold.config import ConfigError
from lavenderfold.ctl._errors import BadInputError


def read_folder(folder: str) -> dict[str, str]:
    """Return the text of each configuration file, keyed by file name.

    Hidden files and files whose name starts with README are skipped. Any other
    entry that isn't a ``*.yaml`` file raises BadInputError, because it was
    probably meant to be applied. So does a file that can't be read as UTF-8.
    """
    try:
        paths = sorted(Path(folder).iterdir())
    except OSError as error:
        raise BadInputError(f"{folder}: expected a folder: {error.strerror}") from error
    text_by_name = {}
    errors = []
    for path in paths:
        if path.name.startswith((".", "README")):
            continue
        if path.suffix != ".yaml" or not path.is_file():
            expected = "expected a file whose name ends in .yaml"
            errors.append(ConfigError(name=path.name, key="", expected=expected))
            continue
        try:
            text_by_name[path.name] = path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            expected = f"expected UTF-8 text: {error}"
            errors.append(ConfigError(name=path.name, key="", expected=expected))
    if not text_by_name and not errors:
        raise BadInputError(f"{folder}: expected at least one *.yaml file")
    if errors:
        raise BadInputError("\n".join(str(error) for error in errors))
    return text_by_name
