"""An event loop on virtual time, for tests without sockets."""

import asyncio
import selectors

# Each turn of the loop takes this long. Code that waits for a time that is less
# than the precision of a float away would otherwise wait for ever.
_TURN_S = 1e-9


class _VirtualTimeSelector(selectors.DefaultSelector):
    """Advances virtual time by the timeout instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout=None):
        assert timeout is not None, (
            "no timer is set: the loop would wait forever"
        )
        self.now_s += max(_TURN_S, timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose time advances only by timeouts and by `work`."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Returns the seconds since the loop was created."""
        return self._virtual_selector.now_s

    def work(self, seconds: float) -> None:
        """Advances time as a task that blocks the loop would."""
        self._virtual_selector.now_s += seconds
