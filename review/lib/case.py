"""Runs a case and ends with its result."""

import asyncio
import sys
import traceback


def run_case(main):
    """Exit with the result of ``main``, or with 2 if it couldn't run to its end."""
    try:
        result = asyncio.run(main())
    except Exception:
        traceback.print_exc()
        result = 2
    sys.exit(result)
