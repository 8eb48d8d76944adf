"""Signals that reach a process while it starts."""

import os
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SIGNALS = 20


def test_changed_settings_do_not_end_a_process_that_starts():
    """Guards against SIGHUP before its handler is installed.

    The code signals itself between the first lines of the entry point and its imports.
    """
    code = (
        "import os, runpy, signal\n"
        "signal.signal(signal.SIGHUP, signal.SIG_DFL)\n"
        f"runpy.run_path({str(ROOT / 'platform/main.py')!r}, run_name='main')\n"
        f"for _ in range({SIGNALS}): os.kill(os.getpid(), signal.SIGHUP)\n"
        "print('alive')\n"
    )
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, env=os.environ, timeout=30
    )
    assert (result.returncode, result.stdout) == (0, b"alive\n")
