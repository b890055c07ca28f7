"""Tests of the gateway's entry point."""

import subprocess
import sys

_CODE = """
import gc, sys
from sesamecross.runtime import signals
from sesamecross.scripts import gateway

sys.argv[1:] = []
def run(log_level, pending_signals):
    print(gc.isenabled())
    return 0

def program(run_program):
    import sesamecross.platform.program as platform_program
    platform_program.run = run
    return run_program(signals.PendingSignals())

signals.run_with_deferred_signals = program
sys.exit(gateway.main())
"""


def test_garbage_is_collected_once_the_program_runs():
    """Guards against memory that grows because the imports disabled it."""
    result = subprocess.run(
        [sys.executable, "-c", _CODE], capture_output=True, text=True
    )
    assert (result.returncode, result.stdout) == (0, "True\n")
