"""Runs a program of the project and sends it signals at chosen stages.

A signal from another process arrives at a different point in each run. This
process sends the signals to itself, at the same points of the program's
lifetime in each run. It is not a test; `signals_test.py` starts it:

    python signal_sender.py PLAN MODULE [FLAG ...]

PLAN is a JSON object of signal names by stage. The stages, in order:

  import: The first import of any module except the program's own script and
    the one that defers signals.
  running: The components are started.
  draining: The process has been asked to stop and completes its work.
  atexit: `main` has returned.
  teardown: The interpreter clears its modules.
"""

import asyncio
import atexit
import importlib
import json
import os
import signal
import sys

# What a script may import before it defers signals.
_EARLY_MODULES = {
    "sesamecross",
    "sesamecross.scripts",
    "sesamecross.runtime",
    "sesamecross.runtime.signals",
}
# Iterations of the event loop after signals to a draining process: more than
# the handling of a signal takes.
_LOOP_TURNS = 20


class _SignalSender:
    """Sends the signals of a plan to this process."""

    def __init__(self, plan: dict[str, list[str]]):
        self._plan = {
            stage: [(name, getattr(signal, name)) for name in names]
            for stage, names in plan.items()
        }
        # Module globals are cleared before the last signals are sent.
        self._write = os.write
        self._raise = signal.raise_signal

    def send(self, stage: str) -> None:
        """Sends the signals of a stage; they may end the process."""
        for name, number in self._plan.get(stage, ()):
            # Not through sys.stderr, which is closed during teardown.
            self._write(2, f"sent: {stage} {name}\n".encode())
            self._raise(number)


class _FirstImportFinder:
    """A finder that finds no module, but detects the first import."""

    def __init__(self, sender: _SignalSender, script: str):
        self._sender = sender
        self._early_modules = _EARLY_MODULES | {script}

    def find_spec(self, name, path=None, target=None):
        """Sends the signals once; leaves the import to other finders."""
        if name not in self._early_modules:
            sys.meta_path.remove(self)
            self._sender.send("import")
            _hook_application(self._sender)


def _hook_application(sender: _SignalSender) -> None:
    """Patches the application to send the signals of later stages."""
    from sesamecross.runtime import application
    from sesamecross.runtime import supervisor

    original_start = supervisor.Supervisor.start
    original_init = application.Application.__init__

    def start_and_notify(self):
        original_start(self)
        asyncio.get_running_loop().call_soon(sender.send, "running")

    def init_with_drain(self, hooks, *others):
        original_drain = hooks.drain

        async def drain_and_notify():
            sender.send("draining")
            for _ in range(_LOOP_TURNS):
                await asyncio.sleep(0)
            if os.environ.get("PLAYER_DRAINS") == "1":
                await original_drain()

        hooks.drain = drain_and_notify
        original_init(self, hooks, *others)

    supervisor.Supervisor.start = start_and_notify
    application.Application.__init__ = init_with_drain


class _TeardownSender:
    """Sends the last signals when the interpreter deletes it."""

    def __init__(self, sender: _SignalSender):
        self._sender = sender

    def __del__(self):
        self._sender.send("teardown")


def main() -> int:
    """Runs the program; returns its exit code."""
    sender = _SignalSender(json.loads(sys.argv[1]))
    script = sys.argv[2]
    atexit.register(sender.send, "atexit")
    # Referenced by a module until the interpreter clears it.
    sys.modules["__main__"].last = _TeardownSender(sender)
    sys.meta_path.insert(0, _FirstImportFinder(sender, script))
    sys.argv = [script, *sys.argv[3:]]
    return importlib.import_module(script).main()


if __name__ == "__main__":
    sys.exit(main())
