"""An event loop on a clock of its own, for tests without sockets."""

import asyncio
import selectors


class _JumpingSelector(selectors.DefaultSelector):
    """Does not wait: the time that it would wait for has passed."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout=None):
        assert timeout is not None, "everybody waits, for nothing"
        self.now_s += max(0.0, timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose time is only what is waited for or worked."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Returns seconds since the loop was made."""
        return self._jumping.now_s

    def work(self, seconds: float) -> None:
        """Lets time pass in which the loop does nothing else."""
        self._jumping.now_s += seconds
