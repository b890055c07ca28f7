"""Wakes an event loop when a signal arrives.

A loop that waits for its sockets doesn't notice a signal that was delivered to
another thread of the process. The interpreter therefore writes to a socket
pair on any signal, and the loop waits for that socket too. The loop's own
`add_signal_handler` would do the same, but removes the handlers when the loop
closes, and a signal that arrives before the process has exited would then kill
it by the default action.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import signal
import socket

_DRAIN_BYTES = 4096


@contextlib.contextmanager
def notify_on_signal(
    loop: asyncio.AbstractEventLoop, on_signal: Callable[[], None]
) -> Iterator[None]:
    """Calls `on_signal` in the loop after signals; main thread only.

    One call may stand for several signals. The bytes on the socket only wake
    the loop, so that no signal is lost when the socket's buffer is full.
    """
    reader, writer = socket.socketpair()
    reader.setblocking(False)
    writer.setblocking(False)

    def wake() -> None:
        with contextlib.suppress(BlockingIOError):
            reader.recv(_DRAIN_BYTES)
        on_signal()

    loop.add_reader(reader, wake)
    previous_fd = signal.set_wakeup_fd(
        writer.fileno(), warn_on_full_buffer=False
    )
    try:
        yield
    finally:
        signal.set_wakeup_fd(previous_fd)
        loop.remove_reader(reader)
        reader.close()
        writer.close()
