"""Tests of which engine a request is sent to while engines leave."""

import asyncio
import random

import msgspec
import pytest

from sesamecross.core import fleet_messages as fm
from sesamecross.core import serving
from sesamecross.fakes import samples
from sesamecross.fakes import virtual_time_loop
from sesamecross.gateway import engine_search
from sesamecross.gateway import pacing as pacing_lib
from sesamecross.gateway import state as state_lib
from sesamecross.ops.fleet import engine_choice
from sesamecross.ops.fleet import reachability
from sesamecross.ops.fleet import stream_origins
from sesamecross.ops.fleet import wait_policy

ROUTE = serving.Route(
    "r",
    "a.example",
    "/a/",
    serving.RouteKind.STREAM,
    (serving.Target("s", 1),),
    0,
    2,
    15.0,
    1.2,
    0.25,
    True,
    True,
)
CALL = serving.ModelCall("m", "", 500, 50, ())
DEADLINE_S = 15.0
# From the choice of an engine until the request reaches it: its permit, a new
# connection and the way, all to another region.
UNTIL_THERE_S = 0.3


def engine(name: str, is_leaving: bool = False) -> serving.Upstream:
    return serving.Upstream(
        name,
        "s",
        "10.0.0.1:80",
        "z1",
        64,
        is_leaving,
        1,
        (serving.ResidentModel("m"),),
    )


class _Pacing:
    """Grants each permit after a wait."""

    def __init__(self, wait_s: float):
        self._wait_s = wait_s

    async def acquire(self, known, ask, requires_grant=False):
        await asyncio.sleep(self._wait_s)
        return pacing_lib.Permit(known.entry.instance_id, 1, "")

    def release(self, permit) -> None:
        pass


class _Searches:
    """An instance that knows some engines, and searches one for each request.

    Attributes:
      sent: Loop times of the end of each successful search, by engine.
    """

    def __init__(self, names: tuple[str, ...], permit_wait_s: float):
        self.loop = virtual_time_loop.VirtualTimeLoop()
        self.state = state_lib.State(samples.INSTANCE)
        for name in names:
            self.state.directory.update_entry(engine(name))
        self.sent: dict[str, list[float]] = {name: [] for name in names}
        self._context = engine_search.SearchContext(
            self.state, random.Random(1), pacing=_Pacing(permit_wait_s)
        )

    async def search(self, timeout_s: float) -> None:
        """Searches an engine for a request, as the forwarder does."""
        now_s = self.loop.time()
        search = engine_search.EngineSearch(
            self._context, ROUTE, CALL, now_s, now_s + timeout_s
        )
        found = await search.find(frozenset())
        if found is not None:
            self.sent[found.entry.instance_id].append(self.loop.time())

    def run(self, *events, until_s: float) -> None:
        """Runs events (time, function) while requests arrive every 50 ms."""

        async def scenario() -> None:
            for at_s, event in events:
                self.loop.call_at(at_s, event)
            searches = []
            while self.loop.time() < until_s:
                searches.append(self.loop.create_task(self.search(DEADLINE_S)))
                await asyncio.sleep(0.05)
            for task in searches:
                task.cancel()

        self.loop.run_until_complete(scenario())


@pytest.mark.parametrize("read_after_s", [0.0, 0.7, 1.5, 1.9, 2.1])
def test_a_leave_that_is_read_late_still_ends_requests_in_time(read_after_s):
    """Guards against a request 2.7 s after an engine announced its leave.

    The engine was the last resort for a model that no other one held, for some
    time that began only when this instance had read the announcement.
    """
    searches = _Searches(("e1",), permit_wait_s=0.0)
    drain_s = searches.state.bounds.drain_s
    announced_s = 1.0

    def read() -> None:
        searches.state.directory.update_entry(engine("e1", is_leaving=True))

    searches.run((announced_s + read_after_s, read), until_s=6.0)
    assert searches.sent["e1"][-1] <= announced_s + drain_s - UNTIL_THERE_S


@pytest.mark.parametrize("is_other_known", [True, False])
def test_an_engine_whose_entry_lapsed_gets_no_request_chosen_before(
    is_other_known,
):
    """Guards against requests to an engine that left without a word.

    Its entry was removed from the store while a request waited for admission
    to it, and was not looked at again.
    """
    names = ("e1", "e2") if is_other_known else ("e1",)
    searches = _Searches(names, permit_wait_s=1.7)
    lapsed_s = 3.0
    searches.run(
        (lapsed_s, lambda: searches.state.directory.lapsed("e1", lapsed_s)),
        until_s=10.0,
    )
    last_s = lapsed_s
    if not is_other_known:
        # All entries lapse while the store is down: the engine may still serve.
        last_s += searches.state.bounds.drain_s
    assert searches.sent["e1"][-1] < last_s
    assert bool(searches.sent.get("e2")) is is_other_known


# When the streams of all instances at an engine fall silent.
SILENT_S = 2.0


@pytest.mark.parametrize(
    ("goes_on_s", "is_waited_for"),
    [
        # A sound engine pauses for a second or so.
        (SILENT_S + 1.2, True),
        (SILENT_S + 1.7, True),
        # One that stays silent is lost; requests are told to come back.
        (None, False),
    ],
)
def test_requests_wait_for_a_paused_engine(goes_on_s, is_waited_for):
    """Guards against refusals and loads elsewhere for an engine that goes on.

    It is the only one that holds the model.
    """
    searches = _Searches(("e1",), permit_wait_s=0.0)
    known = searches.state.directory.get("e1")
    asked: list[float] = []
    searches._context.request_placement = lambda *_: asked.append(
        searches.loop.time()
    )

    def hear() -> None:
        known.reachability.record_contact(searches.loop.time())
        known.others_reachability = reachability.ReachabilityCounts(hears=2)

    def notice_silence() -> None:
        known.others_reachability = reachability.ReachabilityCounts(silent=2)

    known.reachability.streaming = 3
    heard_s = [step * 0.1 for step in range(round(SILENT_S * 10) + 1)]
    if goes_on_s is not None:
        heard_s += [goes_on_s + step * 0.1 for step in range(30)]
    searches.run(
        *((at_s, hear) for at_s in heard_s),
        (SILENT_S + reachability.SILENCE_TIMEOUT_S, notice_silence),
        until_s=5.0,
    )
    noticed_s = SILENT_S + reachability.SILENCE_TIMEOUT_S + 0.05
    late_sends = [one for one in searches.sent["e1"] if one > noticed_s]
    if is_waited_for:
        assert not asked
        assert late_sends[0] < goes_on_s + 0.1
        assert len(searches.sent["e1"]) >= 95
    else:
        assert asked[0] >= SILENT_S + reachability.PAUSE_TIMEOUT_S - 0.01


ORIGIN = stream_origins.StreamOrigin("s", "v1")


@pytest.mark.parametrize(
    ("versions", "found"),
    [
        pytest.param({"e1": "v1", "e2": "v2"}, "e1", id="of its version"),
        pytest.param({"e1": "v2", "e2": "v3"}, None, id="of other versions"),
        pytest.param({"e1": None, "e2": "v2"}, None, id="started again unseen"),
    ],
)
def test_a_stream_goes_on_only_at_an_engine_of_its_version(versions, found):
    """Guards against streams that hold events of two versions (ORDER)."""
    searches = _Searches(tuple(versions), permit_wait_s=0.0)
    for name, version in versions.items():
        known = searches.state.directory.get(name)
        known.entry = msgspec.structs.replace(
            known.entry, version=version or "v1"
        )
        if version is None:
            known.engine.placement = fm.EnginePlacement(
                name, known.entry.born_ms + 1, 0, ["m"], [], []
            )
    search = engine_search.EngineSearch(
        searches._context, ROUTE, CALL, 0.0, DEADLINE_S
    )
    search.origin = ORIGIN
    result = searches.loop.run_until_complete(search.find(frozenset()))
    assert (result.entry.instance_id if result else None) == found
    # Nobody can serve it: the caller is told at once.
    assert searches.loop.time() < 0.01


def test_a_stream_asks_for_its_model_at_its_version():
    """Guards against a model that is loaded where the stream can't go on."""
    searches = _Searches(("e1", "e2"), permit_wait_s=0.0)
    for name, version, models in (("e1", "v1", ()), ("e2", "v2", ("m",))):
        known = searches.state.directory.get(name)
        known.entry = msgspec.structs.replace(
            known.entry,
            version=version,
            models=tuple(serving.ResidentModel(one) for one in models),
        )
    asked = []
    searches._context.request_placement = lambda *args: asked.append(args)
    search = engine_search.EngineSearch(
        searches._context, ROUTE, CALL, 0.0, DEADLINE_S
    )
    search.origin = ORIGIN
    assert searches.loop.run_until_complete(search.find(frozenset())) is None
    assert set(asked) == {("s", "m", "", "v1")}


ADAPTER_CALL = serving.ModelCall("m", "a9", 500, 50, ())
ADAPTER_PLACES = 2
ADAPTER_CONFIGURATION = serving.Configuration(
    1,
    (ROUTE,),
    {
        "s": serving.Service(
            "s",
            "/health",
            100,
            serving.EngineSpec(64, 1000, 80.0, ADAPTER_PLACES, 1.0, 5, {}),
        )
    },
    serving.CallerLimits(),
)


def search_adapter(
    placements: dict[str, fm.EnginePlacement], zones: dict[str, str]
) -> tuple[engine_search.EngineSearch, list[tuple], float]:
    """Searches an engine for an adapter, which gets no place meanwhile.

    Returns:
      The search, the placement requests, and how long the caller was held.
    """
    searches = _Searches(tuple(placements), permit_wait_s=0.0)
    searches.state.offer_configuration(ADAPTER_CONFIGURATION)
    for name, placement in placements.items():
        known = searches.state.directory.get(name)
        known.entry = msgspec.structs.replace(known.entry, zone=zones[name])
        known.engine.apply_placement(placement, 0.0)
    asked: list[tuple] = []
    searches._context.request_placement = lambda *args: asked.append(args)
    search = engine_search.EngineSearch(
        searches._context, ROUTE, ADAPTER_CALL, 0.0, DEADLINE_S
    )
    found = searches.loop.run_until_complete(search.find(frozenset()))
    assert found is None
    return search, asked, searches.loop.time()


def logged_limit(search: engine_search.EngineSearch) -> object:
    """Returns what a refusal's log line says of the limit."""

    async def refusal_fields() -> dict[str, object]:
        return search.refusal_fields()

    return asyncio.run(refusal_fields()).get("limit")


def adapter_placement(name: str, *adapters: str, **planned: float):
    """Returns a placement of the model, some adapters and expected ones.

    Args:
      name: The engine.
      adapters: Adapters that it holds.
      planned: When adapters are expected, or `other`, a model that it loads.
    """
    loads_s = planned.pop("other", None)
    return fm.EnginePlacement(
        name,
        1,
        0,
        ["m", *(f"m/{adapter}" for adapter in adapters)],
        [] if loads_s is None else [("other", loads_s)],
        [(f"m/{adapter}", at_s) for adapter, at_s in planned.items()],
    )


@pytest.mark.parametrize(
    ("near", "far", "asked_at"),
    [
        # Another zone's engine has a free place.
        (adapter_placement("near", "a1", "a2"), ["a1"], "far"),
        # A place that an expected adapter will take is not free.
        (adapter_placement("near", "a1", a2=0.1), ["a1"], "far"),
        (adapter_placement("near", "a1"), [], "near"),
        # All places are taken: where one comes soonest.
        (adapter_placement("near", "a1", "a2"), ["a1", "a2"], "near"),
        (adapter_placement("near", "a1", "a2", a9=0.9), ["a1", "a2"], "near"),
        # It takes no order while it loads a model.
        (adapter_placement("near", other=3.0), [], "far"),
    ],
)
def test_an_adapter_is_asked_for_where_there_is_a_place(near, far, asked_at):
    """Guards against requests that wait for a place at an engine without one.

    Another engine that holds the model had a free place.
    """
    placements = {"near": near, "far": adapter_placement("far", *far)}
    zones = {"near": samples.INSTANCE.zone, "far": "elsewhere"}
    _, asked, _ = search_adapter(placements, zones)
    assert asked[0] == ("s", "m/a9", asked_at, "")


@pytest.mark.parametrize(
    ("held", "planned", "held_s", "retry_after_s", "limit"),
    [
        # The place is expected after the caller has given up.
        (
            ["a1", "a2"],
            {"a9": 4.8},
            0.0,
            4.8,
            wait_policy.Limit.NO_ADAPTER_PLACE,
        ),
        # Nobody knows of a place: only a plan is waited for.
        (
            ["a1", "a2"],
            {},
            wait_policy.PLAN_WAIT_S,
            wait_policy.ADAPTER_RETRY_AFTER_S,
            wait_policy.Limit.NO_ADAPTER_PLACE,
        ),
        # There is a place, and no order before the load of a model has ended.
        (
            ["a1"],
            {"other": 4.8},
            0.0,
            4.8 + engine_choice.ADAPTER_LOAD_S,
            wait_policy.Limit.ENGINE_BUSY,
        ),
        # There is a place, and no load comes.
        (
            ["a1"],
            {},
            4.5 * wait_policy.ADAPTER_WAIT_SHARE,
            wait_policy.ADAPTER_RETRY_AFTER_S,
            wait_policy.Limit.ADAPTER_NOT_LOADED,
        ),
        # The load is overdue and may end at any time: a share of the time.
        (
            ["a1"],
            {"other": -1.0},
            4.5 * wait_policy.ADAPTER_WAIT_SHARE,
            wait_policy.ADAPTER_RETRY_AFTER_S,
            wait_policy.Limit.ENGINE_BUSY,
        ),
    ],
)
def test_a_caller_is_not_held_for_an_adapter_that_gets_no_place(
    held, planned, held_s, retry_after_s, limit
):
    """Guards against 0.7 s of waiting for nothing, and an untrue retry time."""
    placements = {"e1": adapter_placement("e1", *held, **planned)}
    search, _, took_s = search_adapter(placements, {"e1": "z1"})
    assert took_s == pytest.approx(held_s, abs=0.02)
    assert search.retry_after_s == pytest.approx(retry_after_s, abs=0.01)
    assert logged_limit(search) == limit.value


@pytest.mark.parametrize(
    "placement",
    [
        adapter_placement("e1", "a1", "a2", a9=2.0),
        # The model that the engine loads is some tenths of a second late.
        adapter_placement("e1", "a1", other=2.0),
    ],
)
def test_a_caller_waits_for_an_adapter_that_comes_in_time(placement):
    """Guards against refusals of callers who could be served."""
    _, _, took_s = search_adapter({"e1": placement}, {"e1": "z1"})
    assert took_s >= 2.0 + wait_policy.OVERDUE_S


@pytest.mark.parametrize(
    ("models", "planned", "limit"),
    [
        ((), {}, wait_policy.Limit.NO_PLAN),
        ((), {"m": 9.0}, wait_policy.Limit.PLANNED_LATE),
        (("m",), {}, wait_policy.Limit.ADAPTER_NOT_LOADED),
    ],
)
def test_a_refusal_says_what_limited_the_wait(models, planned, limit):
    """Guards against refusals whose cause has to be guessed from their time."""
    placement = fm.EnginePlacement(
        "e1", 1, 0, list(models), [], list(planned.items())
    )
    search, _, _ = search_adapter({"e1": placement}, {"e1": "z1"})
    assert logged_limit(search) == limit.value


def test_a_refusal_without_a_turn_says_so():
    """Guards against refusals whose cause has to be guessed from their time."""
    searches = _Searches(("e1",), permit_wait_s=0.0)

    async def refuse(*_, **__):
        return pacing_lib.PermitRefused(1.0)

    searches._context.pacing.acquire = refuse
    search = engine_search.EngineSearch(
        searches._context, ROUTE, CALL, 0.0, DEADLINE_S
    )
    assert searches.loop.run_until_complete(search.find(frozenset())) is None
    assert logged_limit(search) == wait_policy.Limit.NO_TURN.value


def test_a_caller_is_not_refused_when_the_engine_takes_orders_again():
    """Guards against a refusal at the end of the load that was waited for."""
    searches = _Searches(("e1",), permit_wait_s=0.0)
    searches.state.offer_configuration(ADAPTER_CONFIGURATION)
    known = searches.state.directory.get("e1")
    load_s, adapter_s = 2.0, 2.3

    def apply(placement: fm.EnginePlacement) -> None:
        known.engine.apply_placement(placement, searches.loop.time())
        searches.state.notify_change()

    apply(adapter_placement("e1", other=load_s))
    searches.loop.call_at(load_s, apply, adapter_placement("e1"))
    searches.loop.call_at(adapter_s, apply, adapter_placement("e1", "a9"))
    search = engine_search.EngineSearch(
        searches._context, ROUTE, ADAPTER_CALL, 0.0, DEADLINE_S
    )
    found = searches.loop.run_until_complete(search.find(frozenset()))
    assert found is known
    assert searches.loop.time() == pytest.approx(adapter_s, abs=0.01)


PATIENT_ROUTE = msgspec.structs.replace(ROUTE, objective_s=5.0, timeout_s=20.0)
LOAD_S, DISK_LOAD_S = 6.0, 1.3
MODELS = {
    name: serving.ModelSpec(name, 40.0, LOAD_S, DISK_LOAD_S, 0.6, 0, 1.0)
    for name in ("m", "n", "o", "p")
}


def search_patient(
    deadline_s: float,
    models: int = 4,
    loaded_s: float | None = None,
    origin: stream_origins.StreamOrigin | None = None,
    expected_s: float | None = None,
):
    """Searches an engine for a patient request whose model nobody holds.

    Args:
      deadline_s: When the caller gives up.
      models: How many models are declared.
      loaded_s: When an engine holds the model.
      origin: Where the request's stream began.
      expected_s: When the lease holder expects the model, if it has said so.

    Returns:
      The search, the engine found, what was asked for, the demand rows after
      1 s, and the time until it ended.
    """
    searches = _Searches(("e1",), permit_wait_s=0.0)
    declared = dict(list(MODELS.items())[:models])
    spec = serving.EngineSpec(12, 60_000, 130.0, 8, 16.0, 8, declared)
    searches.state.offer_configuration(
        serving.Configuration(
            1,
            (),
            {"s": serving.Service("s", "/health", 100, spec)},
            serving.CallerLimits(),
        )
    )

    def hold(model: str) -> None:
        searches.state.directory.update_entry(
            msgspec.structs.replace(
                engine("e1"), models=(serving.ResidentModel(model),)
            )
        )
        searches.state.notify_change()

    hold("n")
    if loaded_s is not None:
        searches.loop.call_at(loaded_s, hold, "m")
    if expected_s is not None:
        searches.state.directory.get("e1").engine.apply_placement(
            fm.EnginePlacement("e1", 1, 0, ["n"], [], [("m", expected_s)]), 0.0
        )
    asked: list = []
    searches._context.request_placement = lambda *request: asked.append(request)
    search = engine_search.EngineSearch(
        searches._context, PATIENT_ROUTE, CALL, 0.0, deadline_s
    )
    search.origin = origin
    search.record_demand(0.02)
    rows: list[fm.TargetDemand] = []
    searches.loop.call_at(
        1.0, lambda: rows.extend(searches._context.demand.rows(1.0))
    )
    found = searches.loop.run_until_complete(search.find(frozenset()))
    return search, found, asked, rows, searches.loop.time()


def test_a_patient_request_is_held_until_its_model_is_loaded():
    """Guards against a refusal of a request that can wait for a load."""
    _, found, asked, rows, took_s = search_patient(20.0, loaded_s=7.0)
    assert found is not None
    assert took_s == pytest.approx(7.0, abs=0.05)
    # No urgent request asks for the model.
    assert not asked
    (row,) = rows
    assert (row.rate, row.waiting, row.patient_waiting) == (0.0, 0, 1)
    assert row.patient_left_ms == pytest.approx(3700, abs=10)


def test_a_patient_request_is_held_as_long_as_a_load_can_be_in_time():
    """Guards against callers who are held for nothing, or not long enough."""
    search, found, _, _, took_s = search_patient(20.0)
    assert found is None
    assert took_s == pytest.approx(
        20.0 - wait_policy.SEND_MARGIN_S - LOAD_S, abs=0.05
    )
    assert search.retry_after_s >= LOAD_S
    assert logged_limit(search) == wait_policy.Limit.NO_PLAN.value


def test_a_patient_request_that_no_load_can_serve_is_refused_at_once():
    """Guards against callers who wait for a load that comes too late."""
    search, found, _, _, took_s = search_patient(6.0)
    assert found is None
    assert took_s == pytest.approx(0.0, abs=0.001)
    assert search.retry_after_s >= LOAD_S


@pytest.mark.parametrize(
    ("expected_s", "after_s"), [(25.0, 25.0), (21.0, 21.0)]
)
def test_callers_whose_turn_is_too_late_are_told_and_expected_back(
    expected_s, after_s
):
    """Guards against callers who are held in vain, and then forgotten."""
    search, found, _, rows, took_s = search_patient(20.0, expected_s=expected_s)
    assert found is None
    assert took_s == pytest.approx(0.0, abs=0.001)
    assert search.retry_after_s == pytest.approx(after_s)
    assert logged_limit(search) == wait_policy.Limit.PLANNED_LATE.value
    (row,) = search._context.demand.rows(1.0)
    assert (row.patient_waiting, row.returning) == (0, 1)
    assert row.missed_ms == 1000


def test_requests_are_not_held_where_all_models_fit():
    """Guards against a change for deployments that hold all their models."""
    search, found, asked, _, took_s = search_patient(20.0, models=3)
    assert found is None
    assert not search.is_patient
    assert asked
    assert took_s == pytest.approx(wait_policy.PLAN_WAIT_S, abs=0.01)


def test_a_stream_that_goes_on_is_not_patient():
    """Guards against a pause of seconds in the middle of an answer."""
    origin = stream_origins.StreamOrigin("s", "v1")
    search, *_ = search_patient(20.0, origin=origin)
    assert not search.is_patient
