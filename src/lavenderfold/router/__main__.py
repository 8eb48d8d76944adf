"""The command ``lavenderfold-router``."""

import logging
import signal
import sys

import trio
from absl import app, flags

from lavenderfold import logs
from lavenderfold.links import ListenError
from lavenderfold.router._router import Router
from lavenderfold.router._settings import RouterSettings
from lavenderfold.settings import load
from lavenderfold.store import Store
from lavenderfold.timers import TimerService

LISTEN_EXIT_CODE = 1
SETTINGS_EXIT_CODE = 2

SETTINGS = flags.DEFINE_string("settings", None, "The settings file (YAML).")
LOG_LEVEL = flags.DEFINE_enum(
    "log_level",
    "INFO",
    ["DEBUG", "INFO", "WARNING"],
    "The lowest level that is logged.",
)

logger = logging.getLogger("lavenderfold.router")


async def _drain_on_signal(router: Router) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            router.drain()


async def _serve(settings: RouterSettings) -> None:
    router = Router(
        settings=settings,
        timers=TimerService(),
        store=Store(address=settings.store_address),
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_drain_on_signal, router)
        await router.run()
        nursery.cancel_scope.cancel()


def _first_cause(error: BaseException) -> BaseException:
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def _main(_: list[str]) -> int:
    if not SETTINGS.value:
        sys.stderr.write("--settings is required\n")
        return SETTINGS_EXIT_CODE
    loaded = load(SETTINGS.value, RouterSettings)
    if loaded.is_err():
        sys.stderr.write(f"{loaded.err()}\n")
        return SETTINGS_EXIT_CODE
    settings = loaded.unwrap()
    logs.configure(process=settings.router, level=LOG_LEVEL.value)
    try:
        trio.run(_serve, settings)
    except* (OSError, ListenError) as errors:
        sys.stderr.write(f"{_first_cause(errors)}\n")
        return_code = LISTEN_EXIT_CODE
    else:
        return_code = 0
    return return_code


def run() -> None:
    """Run the router until it has drained after SIGTERM or SIGINT."""
    app.run(_main)


if __name__ == "__main__":
    run()
