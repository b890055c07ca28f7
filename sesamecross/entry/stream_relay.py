"""Moves tokens from engines to callers, for all calls, in one thread.

Why: with a thread for each stream, every token wakes a thread that has to
fight the others for the interpreter lock; measured at 100 streams that costs
260 to 580 microseconds a token (docs/design/0004-relay.md). Here a call's own
thread waits once, until its attempt has ended.

A slow caller holds a bounded number of bytes and stops the reading of its own
engine only.
"""

import contextlib
import dataclasses
import selectors
import socket
import threading
import time

from sesamecross.entry import sinks
from sesamecross.ops import answer_validator
from sesamecross.ports import engine_stream
from sesamecross.runtime import logs

SWEEP_INTERVAL_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Completed:
    """The answer came to its proper end."""


@dataclasses.dataclass(frozen=True, slots=True)
class Interrupted:
    """The engine failed before the answer's end."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLeft:
    """The caller went away or did not read."""

    reason: str


TransferResult = Completed | Interrupted | CallerLeft


class Transfer:
    """One attempt that is being moved."""

    __slots__ = (
        "stream",
        "validator",
        "sink",
        "engine_idle_timeout_s",
        "caller_idle_timeout_s",
        "deadline_s",
        "first_s",
        "last_token_s",
        "result",
        "done",
        "engine_idle_since_s",
        "caller_idle_since_s",
        "reading",
        "writing",
    )

    def __init__(
        self,
        stream: engine_stream.EngineStream,
        validator: answer_validator.AnswerValidator,
        sink: sinks.Sink,
        engine_idle_timeout_s: float,
        caller_idle_timeout_s: float,
        deadline_s: float,
    ):
        self.stream = stream
        self.validator = validator
        self.sink = sink
        self.engine_idle_timeout_s = engine_idle_timeout_s
        self.caller_idle_timeout_s = caller_idle_timeout_s
        self.deadline_s = deadline_s
        self.first_s: float | None = None
        self.last_token_s = 0.0
        self.result: TransferResult | None = None
        self.done = threading.Event()
        self.engine_idle_since_s = self.caller_idle_since_s = time.monotonic()
        self.reading = False
        self.writing = False

    def read_engine(self, now_s: float) -> None:
        """Moves what the engine has sent; may set `ending`."""
        self.engine_idle_since_s = now_s
        try:
            events = self.stream.read(None)
            before = self.validator.tokens
            chunks = []
            for event in events:
                chunk = self.validator.process_event(event)
                if chunk is not None:
                    chunks.append(chunk)
            if self.validator.tokens > before:
                self.first_s = self.first_s or now_s
                self.last_token_s = now_s
            if chunks:
                self.sink.accept(chunks)
        except (
            engine_stream.StreamBroken,
            answer_validator.InvalidEventError,
        ) as error:
            self.result = Interrupted(str(error))
        except sinks.CallerDisconnectedError as error:
            self.result = CallerLeft(str(error))
        else:
            self._look_for_end()

    def _look_for_end(self) -> None:
        if self.validator.done:
            if not self.sink.pending:
                self.result = Completed()
        elif self.stream.ended:
            self.result = Interrupted("the answer ended early")

    def write_caller(self, now_s: float) -> None:
        """Sends what waits for the caller; may set `ending`."""
        try:
            if self.sink.flush():
                self.caller_idle_since_s = now_s
        except sinks.CallerDisconnectedError as error:
            self.result = CallerLeft(str(error))
        else:
            if self.validator.done and not self.sink.pending:
                self.result = Completed()

    def check_caller(self) -> None:
        """Looks whether the caller hung up; may set `ending`."""
        try:
            self.sink.check_alive()
        except sinks.CallerDisconnectedError as error:
            self.result = CallerLeft(str(error))

    def sweep(self, now_s: float) -> None:
        """Looks at the time that passed; may set `ending`."""
        if self.sink.pending:
            if now_s - self.caller_idle_since_s > self.caller_idle_timeout_s:
                self.result = CallerLeft("does not read")
        else:
            self.caller_idle_since_s = now_s
        if self.validator.done or self.sink.is_full:
            # It is the caller who is waited for, not the engine.
            self.engine_idle_since_s = now_s
        elif now_s - self.engine_idle_since_s > self.engine_idle_timeout_s:
            self.result = Interrupted("the engine is silent")
        if now_s > self.deadline_s and self.result is None:
            self.result = Interrupted("the deadline passed")


class StreamRelay:
    """The thread and its selector."""

    __slots__ = ("_selector", "_lock", "_new", "_wake", "_woken", "_active")

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self._lock = threading.Lock()
        self._new: list[Transfer] = []
        self._wake, self._woken = socket.socketpair()
        self._wake.setblocking(False)
        self._woken.setblocking(False)
        self._active: set[Transfer] = set()

    def start(self) -> None:
        """Starts the thread; it lives as long as the process."""
        self._selector.register(self._woken, selectors.EVENT_READ, None)
        threading.Thread(target=self._run, name="pump", daemon=True).start()

    def run_transfer(self, transfer: Transfer) -> TransferResult:
        """Moves one attempt to its end; the calling thread waits."""
        with self._lock:
            self._new.append(transfer)
        # When the pipe is full the thread has been woken often enough.
        with contextlib.suppress(BlockingIOError):
            self._wake.send(b"x")
        transfer.done.wait()
        return transfer.result

    def _run(self) -> None:
        log = logs.get_logger("pump")
        swept_s = 0.0
        while True:
            ready = self._selector.select(SWEEP_INTERVAL_S)
            now_s = time.monotonic()
            for key, mask in ready:
                if key.data is None:
                    self._take_new()
                    continue
                transfer, is_engine = key.data
                if transfer.result is not None:
                    continue
                try:
                    self._serve(transfer, is_engine, mask, now_s)
                except Exception as error:
                    # A fault in one transfer must not stop all others.
                    log.exception("transfer failed")
                    transfer.result = Interrupted(repr(error))
                self._settle(transfer)
            if now_s - swept_s > SWEEP_INTERVAL_S:
                swept_s = now_s
                self._sweep(now_s)

    def _take_new(self) -> None:
        try:
            self._woken.recv(4096)
        except BlockingIOError:
            return
        with self._lock:
            new, self._new = self._new, []
        now_s = time.monotonic()
        for transfer in new:
            self._active.add(transfer)
            # Events may have come with the head of the answer already.
            transfer.read_engine(now_s)
            self._settle(transfer)

    def _serve(
        self, transfer: Transfer, is_engine: bool, mask: int, now_s: float
    ) -> None:
        if is_engine:
            transfer.read_engine(now_s)
            return
        if mask & selectors.EVENT_WRITE:
            transfer.write_caller(now_s)
        if mask & selectors.EVENT_READ and transfer.result is None:
            transfer.check_caller()

    def _settle(self, transfer: Transfer) -> None:
        """Registers what the transfer waits for now, or ends it."""
        if transfer.result is not None:
            self._end(transfer)
            return
        wants_read = not (transfer.validator.done or transfer.sink.is_full)
        if wants_read != transfer.reading:
            transfer.reading = wants_read
            if wants_read:
                self._selector.register(
                    transfer.stream, selectors.EVENT_READ, (transfer, True)
                )
            else:
                self._selector.unregister(transfer.stream)
        wants_write = transfer.sink.pending
        if wants_write != transfer.writing:
            transfer.writing = wants_write
            if wants_write:
                mask = selectors.EVENT_WRITE
                self._selector.register(transfer.sink, mask, (transfer, False))
            else:
                self._selector.unregister(transfer.sink)

    def _end(self, transfer: Transfer) -> None:
        if transfer.reading:
            self._selector.unregister(transfer.stream)
        if transfer.writing:
            self._selector.unregister(transfer.sink)
        self._active.discard(transfer)
        transfer.done.set()

    def _sweep(self, now_s: float) -> None:
        for transfer in list(self._active):
            if isinstance(transfer.sink, sinks.CallerSink):
                transfer.check_caller()
            if transfer.result is None:
                transfer.sweep(now_s)
            if transfer.result is not None:
                self._settle(transfer)
