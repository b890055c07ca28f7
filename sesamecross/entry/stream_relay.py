"""Relays tokens from engines to callers, for all calls, in one thread.

With a thread per stream, every token wakes a thread that contends for the
interpreter lock; at 100 streams this cost 260 to 580 microseconds per token
(docs/design/0004-relay.md). Here the thread of a call waits once, until its
attempt has ended.

The bytes buffered for a slow caller are bounded, and only the engine stream of
its own call is no longer read.
"""

from collections.abc import Callable
import contextlib
import dataclasses
import selectors
import socket
import threading
import time
from typing import Any

from sesamecross.entry import sinks
from sesamecross.ops import answer_validator
from sesamecross.ports import engine_stream
from sesamecross.runtime import logs

SWEEP_INTERVAL_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Completed:
    """The whole response was relayed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Interrupted:
    """The engine failed, or the deadline passed, before the response ended."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller disconnected or did not read."""

    reason: str


TransferResult = Completed | Interrupted | CallerDisconnected


class Transfer:
    """The relay of one attempt's response.

    Attributes:
      engine_idle_timeout_s: Longest wait for bytes from the engine.
      caller_idle_timeout_s: Longest wait for the caller to take bytes.
      deadline_s: The call's deadline, on the monotonic clock.
      result: How the relay ended; None before that.
      done: Set when the transfer has ended and left the selector.
      engine_idle_since_s: When the wait for the engine began.
      caller_idle_since_s: When the wait for the caller began.
      is_reading: Whether the engine's stream is registered for reading.
      is_writing: Whether the sink is registered for writing.
    """

    __slots__ = (
        "stream",
        "validator",
        "sink",
        "engine_idle_timeout_s",
        "caller_idle_timeout_s",
        "deadline_s",
        "first_token_s",
        "last_token_s",
        "result",
        "done",
        "engine_idle_since_s",
        "caller_idle_since_s",
        "is_reading",
        "is_writing",
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
        self.first_token_s: float | None = None
        self.last_token_s = 0.0
        self.result: TransferResult | None = None
        self.done = threading.Event()
        self.engine_idle_since_s = self.caller_idle_since_s = time.monotonic()
        self.is_reading = False
        self.is_writing = False

    def read_engine(self, now_s: float) -> None:
        """Relays what the engine has sent; may set `result`."""
        self.engine_idle_since_s = now_s
        try:
            events = self.stream.read(None)
            tokens_before = self.validator.tokens
            chunks = []
            for event in events:
                chunk = self.validator.process_event(event)
                if chunk is not None:
                    chunks.append(chunk)
            if self.validator.tokens > tokens_before:
                self.first_token_s = self.first_token_s or now_s
                self.last_token_s = now_s
            if chunks:
                self.sink.write(chunks)
        except (
            engine_stream.StreamBroken,
            answer_validator.InvalidEventError,
        ) as error:
            self.result = Interrupted(str(error))
        except sinks.CallerDisconnectedError as error:
            self.result = CallerDisconnected(str(error))
        else:
            self._check_completion()

    def _check_completion(self) -> None:
        if self.validator.done:
            if not self.sink.has_pending_bytes:
                self.result = Completed()
        elif self.stream.ended:
            self.result = Interrupted("the answer ended early")

    def write_caller(self, now_s: float) -> None:
        """Sends buffered bytes to the caller; may set `result`."""
        try:
            if self.sink.flush():
                self.caller_idle_since_s = now_s
        except sinks.CallerDisconnectedError as error:
            self.result = CallerDisconnected(str(error))
        else:
            if self.validator.done and not self.sink.has_pending_bytes:
                self.result = Completed()

    def check_caller(self) -> None:
        """Checks that the caller is still connected; may set `result`."""
        try:
            self.sink.check_alive()
        except sinks.CallerDisconnectedError as error:
            self.result = CallerDisconnected(str(error))

    def check_timeouts(self, now_s: float) -> None:
        """Checks the idle timeouts and the deadline; may set `result`."""
        if self.sink.has_pending_bytes:
            if now_s - self.caller_idle_since_s > self.caller_idle_timeout_s:
                self.result = CallerDisconnected("does not read")
                return
        else:
            self.caller_idle_since_s = now_s
        if self.validator.done or self.sink.is_full:
            # The relay waits for the caller, not for the engine.
            self.engine_idle_since_s = now_s
        elif now_s - self.engine_idle_since_s > self.engine_idle_timeout_s:
            self.result = Interrupted("the engine is silent")
        if now_s > self.deadline_s and self.result is None:
            self.result = Interrupted("the deadline passed")


class StreamRelay:
    """The relay's thread and its selector."""

    __slots__ = (
        "_selector",
        "_lock",
        "_new_transfers",
        "_wakeup_sender",
        "_wakeup_receiver",
        "_active_transfers",
        "_log",
    )

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self._lock = threading.Lock()
        self._new_transfers: list[Transfer] = []
        self._wakeup_sender, self._wakeup_receiver = socket.socketpair()
        self._wakeup_sender.setblocking(False)
        self._wakeup_receiver.setblocking(False)
        self._active_transfers: set[Transfer] = set()
        self._log = logs.get_logger("pump")

    def start(self) -> None:
        """Starts the thread, which runs until the process exits."""
        self._selector.register(
            self._wakeup_receiver, selectors.EVENT_READ, None
        )
        threading.Thread(target=self._run, name="pump", daemon=True).start()

    def run_transfer(self, transfer: Transfer) -> TransferResult:
        """Relays one attempt; blocks until it has ended."""
        with self._lock:
            self._new_transfers.append(transfer)
        # If the socket buffer is full, a wakeup is already pending.
        with contextlib.suppress(BlockingIOError):
            self._wakeup_sender.send(b"x")
        transfer.done.wait()
        return transfer.result

    def _run(self) -> None:
        last_sweep_s = 0.0
        while True:
            ready = self._selector.select(SWEEP_INTERVAL_S)
            now_s = time.monotonic()
            for key, mask in ready:
                if key.data is None:
                    self._accept_new_transfers()
                    continue
                transfer, is_engine = key.data
                if transfer.result is None:
                    self._advance(
                        transfer, self._handle_event, is_engine, mask, now_s
                    )
            if now_s - last_sweep_s > SWEEP_INTERVAL_S:
                last_sweep_s = now_s
                self._check_all_timeouts(now_s)

    def _advance(
        self,
        transfer: Transfer,
        step: Callable[..., None],
        *arguments: Any,
    ) -> None:
        """Runs one step of a transfer, and updates or ends it.

        An unforeseen error ends this transfer and none of the others.
        """
        try:
            step(transfer, *arguments)
            if transfer.result is None:
                self._update_registrations(transfer)
        except Exception as error:
            self._log.exception("unexpected error in a transfer")
            transfer.result = Interrupted(repr(error))
        if transfer.result is not None:
            self._end_transfer(transfer)

    def _accept_new_transfers(self) -> None:
        try:
            self._wakeup_receiver.recv(4096)
        except BlockingIOError:
            return
        with self._lock:
            new, self._new_transfers = self._new_transfers, []
        now_s = time.monotonic()
        for transfer in new:
            self._active_transfers.add(transfer)
            # Events may have arrived together with the response headers.
            self._advance(transfer, Transfer.read_engine, now_s)

    def _handle_event(
        self, transfer: Transfer, is_engine: bool, mask: int, now_s: float
    ) -> None:
        if is_engine:
            transfer.read_engine(now_s)
            return
        if mask & selectors.EVENT_WRITE:
            transfer.write_caller(now_s)
        if mask & selectors.EVENT_READ and transfer.result is None:
            transfer.check_caller()

    def _update_registrations(self, transfer: Transfer) -> None:
        """Registers what the transfer waits for with the selector."""
        wants_read = not (transfer.validator.done or transfer.sink.is_full)
        if wants_read != transfer.is_reading:
            if wants_read:
                self._selector.register(
                    transfer.stream, selectors.EVENT_READ, (transfer, True)
                )
            else:
                self._selector.unregister(transfer.stream)
            transfer.is_reading = wants_read
        wants_write = transfer.sink.has_pending_bytes
        if wants_write != transfer.is_writing:
            if wants_write:
                mask = selectors.EVENT_WRITE
                self._selector.register(transfer.sink, mask, (transfer, False))
            else:
                self._selector.unregister(transfer.sink)
            transfer.is_writing = wants_write

    def _end_transfer(self, transfer: Transfer) -> None:
        if transfer.is_reading:
            self._selector.unregister(transfer.stream)
        if transfer.is_writing:
            self._selector.unregister(transfer.sink)
        self._active_transfers.discard(transfer)
        transfer.done.set()

    def _check_all_timeouts(self, now_s: float) -> None:
        for transfer in list(self._active_transfers):
            self._advance(transfer, _check_limits, now_s)


def _check_limits(transfer: Transfer, now_s: float) -> None:
    if isinstance(transfer.sink, sinks.CallerSink):
        transfer.check_caller()
    if transfer.result is None:
        transfer.check_timeouts(now_s)
