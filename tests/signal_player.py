"""Runs a program of the project and sends it signals at chosen ages.

Why: a signal from outside meets a process at an age that differs from run to
run. This one sends the signals to itself, at places in the program's life
that are the same in each run. It is no test; `signals_test.py` starts it:

    python signal_player.py PLAN MODULE [FLAG ...]

PLAN is JSON: the names of signals by age. The ages, the youngest first:

  import: the first import of anything but the program's own script and what
    holds signals.
  running: the components are started.
  draining: the process has been asked to stop and finishes its work.
  atexit: `main` has returned.
  teardown: the interpreter takes its modules apart.
"""

import asyncio
import atexit
import importlib
import json
import os
import signal
import sys

# What a script may import before it holds the signals.
_LIGHT = {
    "sesamecross",
    "sesamecross.scripts",
    "sesamecross.runtime",
    "sesamecross.runtime.signals",
}
# Turns of the loop after signals that came while a process drains: more than
# the handling of a signal takes.
_TURNS = 20


class _Player:
    """Sends the signals of a plan."""

    def __init__(self, plan: dict[str, list[str]]):
        self._plan = {
            age: [(name, getattr(signal, name)) for name in names]
            for age, names in plan.items()
        }
        # The interpreter forgets what modules hold before it ends.
        self._write = os.write
        self._raise = signal.raise_signal

    def send(self, age: str) -> None:
        """Sends the signals of an age; the process may not survive it."""
        for name, number in self._plan.get(age, ()):
            # Past the streams of Python, which are gone in the end.
            self._write(2, f"played: {age} {name}\n".encode())
            self._raise(number)


class _FirstImport:
    """A finder that finds nothing, and sees the program's first import."""

    def __init__(self, player: _Player, script: str):
        self._player = player
        self._light = _LIGHT | {script}

    def find_spec(self, name, path=None, target=None):
        """Sends the signals once; the import goes on with other finders."""
        if name not in self._light:
            sys.meta_path.remove(self)
            self._player.send("import")
            _watch(self._player)


def _watch(player: _Player) -> None:
    """Has the later ages of an application seen."""
    from sesamecross.runtime import application
    from sesamecross.runtime import supervisor

    start = supervisor.Supervisor.start
    make = application.Application.__init__

    def started(self):
        start(self)
        asyncio.get_running_loop().call_soon(player.send, "running")

    def made(self, hooks, *others):
        drain = hooks.drain

        async def draining():
            player.send("draining")
            for _ in range(_TURNS):
                await asyncio.sleep(0)
            if os.environ.get("PLAYER_DRAINS") == "1":
                await drain()

        hooks.drain = draining
        make(self, hooks, *others)

    supervisor.Supervisor.start = started
    application.Application.__init__ = made


class _Teardown:
    """Sends the last signals when the interpreter forgets it."""

    def __init__(self, player: _Player):
        self._player = player

    def __del__(self):
        self._player.send("teardown")


def main() -> int:
    """Returns the program's exit code."""
    player = _Player(json.loads(sys.argv[1]))
    script = sys.argv[2]
    atexit.register(player.send, "atexit")
    # Kept by a module until the interpreter takes it apart.
    sys.modules["__main__"].last = _Teardown(player)
    sys.meta_path.insert(0, _FirstImport(player, script))
    sys.argv = [script, *sys.argv[3:]]
    return importlib.import_module(script).main()


if __name__ == "__main__":
    sys.exit(main())
