"""Wakes an event loop when a signal comes.

Why: a loop that waits for its sockets doesn't notice a signal that another
thread of the process got. The interpreter writes to a socket of ours as soon
as any signal comes, and the loop waits for that socket too. The loop's own
`add_signal_handler` would do the same, but takes the handlers away as it
closes, and the default action ends the process in its last moments.
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
    """Has `on_signal` called in the loop after signals; in the main thread.

    One call may stand for several signals: what is written to the socket only
    wakes, so that nothing is lost when it is full.
    """
    reader, writer = socket.socketpair()
    reader.setblocking(False)
    writer.setblocking(False)

    def wake() -> None:
        with contextlib.suppress(BlockingIOError):
            reader.recv(_DRAIN_BYTES)
        on_signal()

    loop.add_reader(reader, wake)
    former = signal.set_wakeup_fd(writer.fileno(), warn_on_full_buffer=False)
    try:
        yield
    finally:
        signal.set_wakeup_fd(former)
        loop.remove_reader(reader)
        reader.close()
        writer.close()
