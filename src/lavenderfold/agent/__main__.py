"""Command line entry point of the agent."""

import sys

import trio
from absl import app, flags
from result import Err

from lavenderfold import logs, settings
from lavenderfold.agent import Agent, AgentSettings
from lavenderfold.timers import TimerService

SETTINGS_EXIT_CODE = 2

_SETTINGS = flags.DEFINE_string("settings", None, "path of the YAML settings file")


async def serve(values: AgentSettings) -> None:
    """Run an agent until it has drained, which SIGTERM or SIGINT starts."""
    agent = Agent(settings=values, timers=TimerService())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(agent.drain_on_signal)
        await agent.run()
        nursery.cancel_scope.cancel()


def main(_: list[str]) -> int:
    """Read the settings file and run the agent; return the exit code."""
    loaded = settings.load(_SETTINGS.value, AgentSettings)
    if isinstance(loaded, Err):
        sys.stderr.write(f"{loaded.err_value}\n")
        return SETTINGS_EXIT_CODE
    values = loaded.ok_value
    logs.configure(process=f"agent/{values.target}", level=values.log_level)
    trio.run(serve, values)
    return 0


def run() -> None:
    """Run the installed command ``lavenderfold-agent``."""
    flags.mark_flag_as_required(_SETTINGS.name)
    app.run(main)


if __name__ == "__main__":
    run()
