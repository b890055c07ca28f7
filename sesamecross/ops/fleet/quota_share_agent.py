"""What an instance does so that shares of a quota are where requests come.

Each zone has a home per workspace: the instance that holds the zone's share.
An instance borrows from its zone's home for each request, as with many
instances a fixed part of a small quota is less than one request. A home that
lacks parts asks the granter, then the other homes. None of this affects safety,
which `quota_shares` keeps whatever is asked for and whoever takes itself for a
home.

Deterministic: messages to send are returned, and time is passed in.
"""

from collections.abc import Sequence

import msgspec

from sesamecross.ops.fleet import quota_shares as qs

# What all homes together hold without demand. The rest stays with the granter,
# for homes that need more and for the time after a restart of all.
REST_PARTS = 550_000
# What all homes together keep free beyond what is in use.
HEADROOM_PARTS = 200_000
# How often a share is renewed: several times within a lease.
RENEWAL_S = 1.0
# How long a reply is awaited: a round trip between regions (40 ms) and a
# write to the store, twice. Two of them end before a loan does.
REPLY_TIMEOUT_S = 0.09
# For how long a granter that did not reply is asked for renewals only.
SILENT_PAUSE_S = 1.0
# For how long requests are refused at once after no home had enough.
EXHAUSTED_S = 0.05
# How long a granter waits for the store to take a higher cap.
MAX_HOLD_S = 0.03
# For how long a raised cap stays, as each change is a write to the store.
CAP_STAYS_S = 1.0
# How far a cap is set above what is handed out.
CAP_MARGIN_PARTS = 30_000
MIN_RETRY_AFTER_S = 0.1


class LoanRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks a home for parts for one request.

    Attributes:
      number: Of the sender.
      is_partial: Whether fewer parts help: other homes are asked too.
    """

    number: int
    parts: int
    is_partial: bool


class LoanReply(msgspec.Struct, frozen=True, array_like=True):
    """The reply to a loan request.

    Attributes:
      loans: Lenders, their keys and parts; empty if refused.
      after_s: When to ask again if refused.
    """

    number: int
    parts: int
    loans: list[tuple[str, int, int]]
    after_s: float


class LoanResult(msgspec.Struct, frozen=True, array_like=True):
    """Tells a lender how much of a loan was spent; no more of it will be."""

    key: int
    spent: int


Message = LoanRequest | LoanReply | LoanResult | qs.ShareRequest | qs.ShareGrant
# The receiver's name and the message.
Outgoing = tuple[str, Message]


class Decision(msgspec.Struct, frozen=True):
    """The outcome of a request for parts.

    Attributes:
      number: As returned by `ask`.
      after_s: None if admitted; else when to come again.
    """

    number: int
    after_s: float | None


class _Asked(msgspec.Struct):
    """A request of this instance, waiting for its home's reply."""

    parts: int
    sent_s: float


class _Wanted(msgspec.Struct):
    """A loan that this home can't give by itself yet."""

    borrower: str
    number: int
    parts: int
    until_s: float


class _Gathering(msgspec.Struct):
    """Loans from other homes for one wanted loan."""

    wanted: _Wanted
    waiting: int
    parts: int
    loans: list[tuple[str, int, int]]
    until_s: float


class ShareAgent:
    """One instance's part in one workspace's shares.

    Attributes:
      homes: The homes, that of the own zone first.
      granter: Name of the granter; empty if unknown.
    """

    __slots__ = (
        "name",
        "homes",
        "granter",
        "holder",
        "granting",
        "decisions",
        "_number",
        "_asked",
        "_wanted",
        "_gathering",
        "_request_s",
        "_is_requesting",
        "_silent_until_s",
        "_exhausted_until_s",
        "_held_requests",
        "_held_s",
        "_holds_again_s",
        "_raised_s",
    )

    def __init__(self, name: str, incarnation: int, window_s: float):
        self.name = name
        self.homes: Sequence[str] = ()
        self.granter = ""
        self.holder = qs.Holder(name, incarnation, window_s)
        # Set while this instance is the granter.
        self.granting: qs.Granter | None = None
        self.decisions: list[Decision] = []
        # Numbers of another start must not match.
        self._number = incarnation << 32
        self._asked: dict[int, _Asked] = {}
        self._wanted: list[_Wanted] = []
        self._gathering: dict[int, _Gathering] = {}
        self._request_s = -qs.LEASE_S
        self._is_requesting = False
        self._silent_until_s = 0.0
        self._exhausted_until_s = 0.0
        # Requests that wait until a higher cap is stored.
        self._held_requests: list[tuple[str, qs.ShareRequest]] = []
        self._held_s = 0.0
        self._holds_again_s = 0.0
        self._raised_s = 0.0

    @property
    def _is_home(self) -> bool:
        return bool(self.homes) and self.homes[0] == self.name

    def ask(self, parts: int, now_s: float) -> tuple[int, list[Outgoing]]:
        """Asks for parts for a request; `decisions` gets the outcome."""
        self._number += 1
        number = self._number
        if not self.homes:
            self.decisions.append(Decision(number, MIN_RETRY_AFTER_S))
            return number, []
        if self._is_home and self.holder.spend(parts, now_s) is not None:
            self.decisions.append(Decision(number, None))
            return number, []
        self._asked[number] = _Asked(parts, now_s)
        request = LoanRequest(number, parts, False)
        if self._is_home:
            return number, self._lend(self.name, request, now_s)
        return number, [(self.homes[0], request)]

    def on_message(
        self, sender: str, message: Message, now_s: float
    ) -> list[Outgoing]:
        """Handles a message; returns those to send."""
        match message:
            case LoanRequest():
                return self._lend(sender, message, now_s)
            case LoanReply():
                return self._on_reply(message, now_s)
            case LoanResult(key=key, spent=spent):
                self.holder.settle(key, spent, now_s)
            case qs.ShareRequest():
                return self._grant(sender, message, now_s)
            case qs.ShareGrant():
                return self._on_grant(message, now_s)
        return []

    def tick(self, now_s: float) -> list[Outgoing]:
        """Renews the share and ends what waits for too long."""
        outgoing = []
        if self._is_requesting and now_s - self._request_s >= REPLY_TIMEOUT_S:
            self._is_requesting = False
            self._silent_until_s = now_s + SILENT_PAUSE_S
            outgoing += self._serve_wanted(now_s)
        for number, one in list(self._gathering.items()):
            if now_s >= one.until_s:
                outgoing += self._end_gathering(number, now_s)
        for number, asked in list(self._asked.items()):
            if not qs.is_in_time(asked.sent_s, now_s):
                del self._asked[number]
                self.decisions.append(Decision(number, MIN_RETRY_AFTER_S))
        if self._held_requests and now_s - self._held_s >= MAX_HOLD_S:
            # The store is slow or down: what lies below the cap is granted.
            self._holds_again_s = now_s + SILENT_PAUSE_S
            outgoing += self.on_cap_stored(now_s)
        if self._is_home and now_s - self._request_s >= RENEWAL_S:
            outgoing += self._request_share(now_s)
        return outgoing

    # -- as a borrower -------------------------------------------------

    def _on_reply(self, reply: LoanReply, now_s: float) -> list[Outgoing]:
        gathering = self._gathering.get(reply.number)
        if gathering is not None:
            gathering.waiting -= 1
            gathering.parts += reply.parts
            gathering.loans += reply.loans
            if gathering.waiting and gathering.parts < gathering.wanted.parts:
                return []
            return self._end_gathering(reply.number, now_s)
        asked = self._asked.pop(reply.number, None)
        is_spent = (
            asked is not None
            and bool(reply.loans)
            and reply.parts >= asked.parts
            and qs.is_in_time(asked.sent_s, now_s)
        )
        if asked is not None:
            after_s = None
            if not is_spent:
                after_s = max(MIN_RETRY_AFTER_S, reply.after_s)
            self.decisions.append(Decision(reply.number, after_s))
        spent = asked.parts if is_spent else 0
        return self._send_results(reply.loans, spent, now_s)

    def _send_results(
        self, loans: list[tuple[str, int, int]], spent: int, now_s: float
    ) -> list[Outgoing]:
        outgoing = []
        for lender, key, parts in loans:
            used = min(parts, spent)
            spent -= used
            result = LoanResult(key, used)
            if lender == self.name:
                self.on_message(lender, result, now_s)
            else:
                outgoing.append((lender, result))
        return outgoing

    # -- as a home -----------------------------------------------------

    def _lend(
        self, borrower: str, request: LoanRequest, now_s: float
    ) -> list[Outgoing]:
        parts = request.parts
        if request.is_partial:
            parts = min(parts, self.holder.free(now_s))
        key = None
        if parts or not request.is_partial:
            key = self.holder.lend(parts, now_s)
        if key is not None:
            loans = [(self.name, key, parts)]
            return self._reply(borrower, request.number, parts, loans, now_s)
        if request.is_partial or now_s < self._exhausted_until_s:
            return self._refuse(borrower, request.number, parts, now_s)
        until_s = now_s + qs.LOAN_S
        wanted = _Wanted(borrower, request.number, request.parts, until_s)
        self._wanted.append(wanted)
        if self._is_requesting:
            return []
        if now_s < self._silent_until_s or not self.granter:
            return self._serve_wanted(now_s)
        return self._request_share(now_s)

    def _reply(
        self,
        borrower: str,
        number: int,
        parts: int,
        loans: list[tuple[str, int, int]],
        now_s: float,
        after_s: float = 0.0,
    ) -> list[Outgoing]:
        reply = LoanReply(number, parts, loans, after_s)
        if borrower == self.name:
            return self._on_reply(reply, now_s)
        return [(borrower, reply)]

    def _refuse(
        self, borrower: str, number: int, parts: int, now_s: float
    ) -> list[Outgoing]:
        after_s = self.holder.next_free_s(parts, now_s)
        return self._reply(borrower, number, 0, [], now_s, after_s)

    def _request_share(self, now_s: float) -> list[Outgoing]:
        homes = max(1, len(self.homes))
        waiting = sum(one.parts for one in self._wanted)
        used = self.holder.used(now_s) + waiting + HEADROOM_PARTS // homes
        wanted = min(qs.PARTS, max(used, REST_PARTS // homes))
        self._request_s = now_s
        if not self.granter:
            return []
        self._is_requesting = True
        request = self.holder.request(wanted, now_s)
        if self.granter == self.name:
            return self._grant(self.name, request, now_s)
        return [(self.granter, request)]

    def _on_grant(self, grant: qs.ShareGrant, now_s: float) -> list[Outgoing]:
        self._silent_until_s = 0.0
        if self.holder.on_grant(grant, now_s):
            return self._request_share(now_s)
        if grant.parts is not None:
            self._is_requesting = False
        return self._serve_wanted(now_s)

    def _serve_wanted(self, now_s: float) -> list[Outgoing]:
        """Lends what was waited for, or asks the other homes for the rest."""
        wanted, self._wanted = self._wanted, []
        outgoing = []
        for one in wanted:
            key = self.holder.lend(one.parts, now_s)
            if key is not None:
                outgoing += self._reply(
                    one.borrower,
                    one.number,
                    one.parts,
                    [(self.name, key, one.parts)],
                    now_s,
                )
            elif now_s < self._exhausted_until_s:
                outgoing += self._refuse(
                    one.borrower, one.number, one.parts, now_s
                )
            else:
                outgoing += self._gather(one, now_s)
        return outgoing

    def _gather(self, wanted: _Wanted, now_s: float) -> list[Outgoing]:
        others = [home for home in self.homes if home != self.name]
        own = min(wanted.parts, self.holder.free(now_s))
        loans = []
        if own:
            loans.append((self.name, self.holder.lend(own, now_s), own))
        self._number += 1
        gathering = _Gathering(
            wanted, len(others), own, loans, now_s + REPLY_TIMEOUT_S
        )
        self._gathering[self._number] = gathering
        if not others:
            return self._end_gathering(self._number, now_s)
        request = LoanRequest(self._number, wanted.parts - own, True)
        return [(home, request) for home in others]

    def _end_gathering(self, number: int, now_s: float) -> list[Outgoing]:
        one = self._gathering.pop(number)
        wanted = one.wanted
        if one.parts >= wanted.parts:
            return self._reply(
                wanted.borrower, wanted.number, one.parts, one.loans, now_s
            )
        self._exhausted_until_s = now_s + EXHAUSTED_S
        outgoing = self._send_results(one.loans, 0, now_s)
        return outgoing + self._refuse(
            wanted.borrower, wanted.number, wanted.parts, now_s
        )

    # -- as the granter ------------------------------------------------

    def wanted_cap(self, now_s: float) -> int | None:
        """Returns the cap that is to be stored, or None if it is right."""
        granting = self.granting
        if granting is None:
            return None
        outstanding = granting.outstanding(now_s)
        if self._held_requests and granting.cap < qs.PARTS:
            self._raised_s = now_s
            missing = sum(
                max(0, request.wanted - request.held)
                for _, request in self._held_requests
            )
            return min(qs.PARTS, outstanding + missing + CAP_MARGIN_PARTS)
        target = max(REST_PARTS, outstanding) + CAP_MARGIN_PARTS
        is_low = granting.cap < REST_PARTS
        is_high = granting.cap > target + CAP_MARGIN_PARTS
        if is_low or (is_high and now_s - self._raised_s >= CAP_STAYS_S):
            return min(qs.PARTS, target)
        return None

    def on_cap_stored(self, now_s: float) -> list[Outgoing]:
        """Replies to the requests that waited for a higher cap."""
        held, self._held_requests = self._held_requests, []
        outgoing = []
        for sender, request in held:
            outgoing += self._grant(sender, request, now_s)
        return outgoing

    def _grant(
        self, sender: str, request: qs.ShareRequest, now_s: float
    ) -> list[Outgoing]:
        granting = self.granting
        if granting is None:
            return []
        more = request.wanted - request.held
        room = granting.cap - granting.outstanding(now_s)
        if (
            more > room
            and granting.cap < qs.PARTS
            and request.term == granting.term
            and now_s >= self._holds_again_s
        ):
            if not self._held_requests:
                self._held_s = now_s
            self._held_requests.append((sender, request))
            return []
        grant = granting.on_request(request, now_s)
        if grant is None:
            return []
        if sender == self.name:
            return self._on_grant(grant, now_s)
        return [(sender, grant)]
