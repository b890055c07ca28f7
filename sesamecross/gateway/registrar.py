"""Registers this instance in the store and reads who the others are.

The platform tells a process nothing of the other instances. Each writes one
keyed record when it starts. Before that it chooses the incarnation number of
the start, the end of the topic as it finds it, and states it in the record: as
the store may do a write late or twice, an offset says nothing of the start. The
record of an earlier start that others know lies before that end, so a later
start has a larger number. The very first instance also writes the key that
authenticates messages between instances.
"""

import asyncio
import base64
from collections.abc import Callable
import random
import secrets
import time

import msgspec

from sesamecross.core import fleet_messages as fm
from sesamecross.core import serving
from sesamecross.gateway import store_client
from sesamecross.ports import store
from sesamecross.runtime import event_loop
from sesamecross.runtime import logs

SECRET_KEY = "secret"
INSTANCE_PREFIX = "instance/"
SECRET_BYTES = 32
RETRY_INTERVAL_S = 0.5
# The secret and the registration. More writes of one start mean that the list
# doesn't show them, and are not repeated without a pause.
MAX_WRITES_WITHOUT_PAUSE = 2
# A deployment whose first instance started longer ago is not new.
NEW_DEPLOYMENT_MS = 10_000


class Registration(msgspec.Struct, frozen=True):
    """An instance's record in the store."""

    zone: str
    address: str
    # Distinguishes this start's record from that of an earlier start.
    nonce: str
    # Wall-clock time of this start; 0 in records of older instances.
    started_ms: int = 0
    # Not in records of older instances, whose number is the record's offset.
    incarnation: int | None = None


class JoinResult(msgspec.Struct, frozen=True):
    """What an instance knows once it is registered."""

    me: fm.Member
    secret: bytes
    others: tuple[fm.Member, ...]
    # Whether the whole deployment has started just now, for the first time.
    is_new_deployment: bool = False


class TopicList(msgspec.Struct, frozen=True):
    """The records of the topic by key, and its end before they were read."""

    records: dict[str, store.KeyedRecord]
    end: int


# Receives all records, and the loop time at which their list was asked for.
RecordsListener = Callable[[dict[str, store.KeyedRecord], float], None]


class Registrar:
    """Registers one start of this instance."""

    __slots__ = ("_client", "_topic", "_instance", "_address", "_rng", "_log")

    def __init__(
        self,
        client: store_client.StoreClient,
        topic: str,
        instance: serving.Instance,
        address: str,
        rng: random.Random,
    ):
        self._client = client
        self._topic = topic
        self._instance = instance
        self._address = address
        self._rng = rng
        self._log = logs.get_logger("registrar")

    async def join(
        self, on_listed: RecordsListener = lambda _records, _begun_s: None
    ) -> JoinResult:
        """Returns once this start is registered, however long that takes.

        Args:
          on_listed: Called with all records of each list.
        """
        nonce = secrets.token_hex(8)
        incarnation: int | None = None
        is_first = True
        writes = 0
        while True:
            begun_s = event_loop.now_s()
            listed = await self.list_records()
            if listed is not None:
                records = listed.records
                on_listed(records, begun_s)
                if is_first:
                    is_first = False
                    self._warn_if_unclean_stop(records)
                if incarnation is None and SECRET_KEY in records:
                    incarnation = listed.end
                outcome = await self._try_join(records, nonce, incarnation)
                if isinstance(outcome, JoinResult):
                    self._log.info(
                        "joined",
                        incarnation=outcome.me.incarnation,
                        others=len(outcome.others),
                    )
                    return outcome
                writes += 1
                is_written = isinstance(outcome, store.Appended)
                if is_written and writes <= MAX_WRITES_WITHOUT_PAUSE:
                    # The next list has it.
                    continue
            await asyncio.sleep(RETRY_INTERVAL_S * self._rng.uniform(0.5, 1.0))

    def _warn_if_unclean_stop(
        self, records: dict[str, store.KeyedRecord]
    ) -> None:
        """Warns if the previous start ended without a planned stop.

        A process that is killed by a signal or the kernel logs nothing of it,
        and no local state survives it. Its registration does survive: only a
        planned stop removes it.
        """
        earlier = records.get(INSTANCE_PREFIX + self._instance.name)
        if earlier is not None:
            known = decode(earlier)
            self._log.warning(
                "earlier start ended without a stop",
                incarnation=known.incarnation if known else earlier.offset,
            )

    async def list_records(self) -> TopicList | None:
        """Lists the topic; None if the store does not answer."""
        found: dict[str, store.KeyedRecord] = {}
        end: int | None = None
        after = ""
        while True:
            outcome = await self._client.newest(self._topic, after)
            if not isinstance(outcome, store.NewestPage):
                self._log.warning("store does not answer", why=str(outcome))
                return None
            end = outcome.end if end is None else end
            found |= {record.key: record for record in outcome.records}
            if not outcome.has_more or not outcome.records:
                return TopicList(found, end)
            after = outcome.records[-1].key

    async def _try_join(
        self,
        records: dict[str, store.KeyedRecord],
        nonce: str,
        incarnation: int | None,
    ) -> JoinResult | store.AppendOutcome:
        if SECRET_KEY not in records:
            # The append is conditional on an empty topic: of all instances that
            # start at once, exactly one writes the secret.
            value = base64.b64encode(secrets.token_bytes(SECRET_BYTES))
            return await self._client.append(
                self._topic, SECRET_KEY, value, at=0
            )
        own_record = records.get(INSTANCE_PREFIX + self._instance.name)
        if own_record is not None:
            known = decode(own_record)
            if known is not None and known.nonce == nonce:
                return self._join_result(records, incarnation)
        outcome = await self._client.append(
            self._topic,
            INSTANCE_PREFIX + self._instance.name,
            msgspec.msgpack.encode(
                Registration(
                    self._instance.zone,
                    self._address,
                    nonce,
                    wall_clock_ms(),
                    incarnation,
                )
            ),
            at=None,
        )
        # The list is read again in any case: it may lack instances that started
        # at the same time, and a write without an answer may have taken effect.
        self._log.info("registered", outcome=str(outcome))
        return outcome

    def _join_result(
        self, records: dict[str, store.KeyedRecord], incarnation: int
    ) -> JoinResult:
        me = fm.Member(
            self._instance.name,
            incarnation,
            self._instance.zone,
            self._address,
            -1,
            -1,
        )
        others = []
        for key, record in sorted(records.items()):
            name = key.removeprefix(INSTANCE_PREFIX)
            known = decode(record)
            if name == key or name == me.name or known is None:
                continue
            others.append(
                fm.Member(
                    name,
                    known.incarnation,
                    known.zone,
                    known.address,
                    -1,
                    -1,
                )
            )
        secret = base64.b64decode(records[SECRET_KEY].value)
        return JoinResult(
            me, secret, tuple(others), _is_new_deployment(records)
        )

    async def leave(self) -> None:
        """Removes the registration; a failure costs others a timeout."""
        key = INSTANCE_PREFIX + self._instance.name
        await self._client.append(self._topic, key, None, at=None)


def wall_clock_ms() -> int:
    """Returns the time of day."""
    return int(time.time() * 1000)


def _is_new_deployment(records: dict[str, store.KeyedRecord]) -> bool:
    """Whether all instances started just now, and none did before.

    Every start appends a record, and so does a planned stop. So if there are as
    many records as offsets, none of them replaced another.
    """
    starts = [
        known.started_ms
        for key, record in records.items()
        if key != SECRET_KEY and (known := decode(record)) is not None
    ]
    offsets = [record.offset for record in records.values()]
    return (
        max(offsets) < len(records)
        and min(starts) >= wall_clock_ms() - NEW_DEPLOYMENT_MS
    )


def decode(record: store.KeyedRecord) -> Registration | None:
    """Returns a registration; None for a damaged record, or another one."""
    if record.value is None:
        return None
    try:
        known = msgspec.msgpack.decode(record.value, type=Registration)
    except (msgspec.MsgspecError, RecursionError):
        # RecursionError: the record is nested deeply.
        return None
    if known.incarnation is None:
        return msgspec.structs.replace(known, incarnation=record.offset)
    return known
