"""Registers this instance in the store and learns of the others.

Why: the platform tells a process nothing of the other instances. Each writes
one keyed record when it starts; its offset numbers this life of the instance,
so that everybody knows the later one. The first instance ever also writes the
key by which the instances' messages to each other are authenticated.
"""

import asyncio
import base64
import random
import secrets

import msgspec

from sesamecross.core import fleet_messages as fm
from sesamecross.core import serving
from sesamecross.gateway import store_client
from sesamecross.ports import store
from sesamecross.runtime import logs

SECRET_KEY = "secret"
INSTANCE_PREFIX = "instance/"
SECRET_BYTES = 32
RETRY_S = 0.5


class _Registration(msgspec.Struct, frozen=True):
    """An instance's record."""

    zone: str
    address: str
    # Tells this start's record from that of an earlier one.
    nonce: str


class Joined(msgspec.Struct, frozen=True):
    """What an instance knows once it is registered."""

    me: fm.Member
    secret: bytes
    others: tuple[fm.Member, ...]


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
        self._log = logs.part("registrar")

    async def join(self) -> Joined:
        """Returns once this start is registered, however long that takes."""
        nonce = secrets.token_hex(8)
        is_first = True
        while True:
            records = await self._list()
            if records is not None:
                if is_first:
                    is_first = False
                    self._tell_earlier(records)
                joined = await self._join_by(records, nonce)
                if joined is not None:
                    self._log.info(
                        "joined",
                        incarnation=joined.me.incarnation,
                        others=len(joined.others),
                    )
                    return joined
            await asyncio.sleep(RETRY_S * self._rng.uniform(0.5, 1.0))

    def _tell_earlier(self, records: dict[str, store.KeyedRecord]) -> None:
        """Logs whether the start before this one ended in order.

        A process that a signal or the kernel ends writes no line of it, and
        nothing on the instance outlives it. Its registration does: a planned
        stop takes it back.
        """
        earlier = records.get(INSTANCE_PREFIX + self._instance.name)
        if earlier is not None:
            self._log.warning(
                "earlier start ended without a stop",
                incarnation=earlier.offset,
            )

    async def _list(self) -> dict[str, store.KeyedRecord] | None:
        found: dict[str, store.KeyedRecord] = {}
        after = ""
        while True:
            outcome = await self._client.newest(self._topic, after)
            if not isinstance(outcome, store.NewestPage):
                self._log.warning("store does not answer", why=str(outcome))
                return None
            found |= {record.key: record for record in outcome.records}
            if not outcome.has_more or not outcome.records:
                return found
            after = outcome.records[-1].key

    async def _join_by(
        self, records: dict[str, store.KeyedRecord], nonce: str
    ) -> Joined | None:
        if SECRET_KEY not in records:
            # Only the topic's very first record may be a secret: of all
            # instances that start at once, one succeeds.
            value = base64.b64encode(secrets.token_bytes(SECRET_BYTES))
            await self._client.append(self._topic, SECRET_KEY, value, at=0)
            return None
        mine = records.get(INSTANCE_PREFIX + self._instance.name)
        if mine is not None:
            known = _decode(mine.value)
            if known is not None and known.nonce == nonce:
                return self._joined(records, mine.offset)
        registration = _Registration(self._instance.zone, self._address, nonce)
        outcome = await self._client.append(
            self._topic,
            INSTANCE_PREFIX + self._instance.name,
            msgspec.msgpack.encode(registration),
            at=None,
        )
        # Listed again in any case: instances that start at once are not on
        # the first list, and a write without an answer may be done.
        self._log.info("registered", outcome=str(outcome))
        return None

    def _joined(
        self, records: dict[str, store.KeyedRecord], incarnation: int
    ) -> Joined:
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
            known = _decode(record.value)
            if name == key or name == me.name or known is None:
                continue
            others.append(
                fm.Member(
                    name, record.offset, known.zone, known.address, -1, -1
                )
            )
        secret = base64.b64decode(records[SECRET_KEY].value)
        return Joined(me, secret, tuple(others))

    async def leave(self) -> None:
        """Takes the registration back; a failure costs others a timeout."""
        key = INSTANCE_PREFIX + self._instance.name
        await self._client.append(self._topic, key, None, at=None)


def _decode(value: bytes | None) -> _Registration | None:
    if value is None:
        return None
    try:
        return msgspec.msgpack.decode(value, type=_Registration)
    except (msgspec.MsgspecError, RecursionError):
        # The latter where a record is nested deeply.
        return None
