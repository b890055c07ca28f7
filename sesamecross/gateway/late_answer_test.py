"""Tests of second answers on a kept connection: whose request they answer."""

import asyncio

import pytest
from structlog import testing

from sesamecross.core import serving
from sesamecross.fakes import scripted_gateway
from sesamecross.fakes import strict_response
from sesamecross.gateway import request_log
from sesamecross.ops.fleet import retry_policy

MAX_SENDS = 10
ANSWER = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n"
    b"Content-Length: 4\r\n\r\n{id}"
)
REFUSAL = b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
NAMED_REFUSAL = REFUSAL.replace(b"Busy\r\n", b"Busy\r\nRequest-Id: {id}\r\n")
MISDIRECTED = (
    b"HTTP/1.1 421 Other\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n"
)
ANONYMOUS = (
    b"HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nContent-Length: 4\r\n\r\n"
)


def ask_twice(
    scripts: list[scripted_gateway.Script],
    route: str,
    request_ids: list[str],
    instance_ids: tuple[str, ...] = (scripted_gateway.INSTANCE_ID,),
) -> tuple[list[strict_response.Answer], scripted_gateway.ScriptedGateway]:
    """Returns the answers to requests on a caller's connection, one by one."""

    async def scenario():
        gateway = scripted_gateway.ScriptedGateway(scripts, instance_ids)
        caller = gateway.caller()
        answers = [
            strict_response.parse(await caller.ask("POST", route, request_id))
            for request_id in request_ids
        ]
        caller.leave()
        return answers, gateway

    return asyncio.run(scenario())


@pytest.mark.parametrize("route", ["once", "plain"])
def test_a_late_refusal_does_not_refuse_the_next_request(route):
    """Guards against a request that runs twice, as if it had not run."""
    scripts = [
        scripted_gateway.Script(ANSWER),
        scripted_gateway.Script(REFUSAL + ANSWER),
        scripted_gateway.Script(ANSWER),
    ]
    answers, gateway = ask_twice(scripts, route, ["aaaa", "bbbb"])
    assert answers[0].body == b"aaaa"
    repeats = len(gateway.requests) - len(answers)
    assert repeats <= (route == "plain")


@pytest.mark.parametrize(
    ("refusal", "expected"),
    [(NAMED_REFUSAL, 503), (MISDIRECTED, 503), (REFUSAL, 502)],
    ids=["named", "misdirected", "unnamed"],
)
def test_only_a_refusal_that_names_the_request_is_its_own(refusal, expected):
    """Guards against refusals that are not true, and failures that need not be.

    A refusal that names no request may have been sent before the request came.
    """
    scripts = [scripted_gateway.Script(refusal)] * MAX_SENDS
    answers, gateway = ask_twice(scripts, "once", ["aaaa"])
    assert answers[0].status == expected
    assert (len(gateway.requests) > 1) == (expected == 503)


def test_a_request_runs_once_if_a_new_connection_holds_a_refusal():
    """Guards against a request that runs and goes out again, as if refused."""
    scripts = [
        scripted_gateway.Script(REFUSAL + ANSWER),
        scripted_gateway.Script(ANSWER),
    ]
    _, gateway = ask_twice(scripts, "once", ["aaaa"])
    assert len(gateway.requests) == 1


def test_a_late_answer_without_an_id_answers_no_other_request():
    """Guards against an answer that another caller asked for."""
    scripts = [
        scripted_gateway.Script(ANONYMOUS + b"1111"),
        scripted_gateway.Script(ANONYMOUS + b"1111" + ANONYMOUS + b"2222"),
    ]
    answers, gateway = ask_twice(scripts, "once", ["", ""])
    assert answers[0].body == b"1111"
    assert gateway.connections_opened == 2


@pytest.mark.parametrize(
    "refusal", [NAMED_REFUSAL, MISDIRECTED], ids=["named", "misdirected"]
)
@pytest.mark.parametrize(
    "instance_ids", [("u1",), ("u1", "u2", "u3")], ids=["one", "restarted"]
)
def test_a_request_is_sent_once_on_a_connection(refusal, instance_ids):
    """Guards against a late refusal of its first try that refuses its next.

    An upstream that restarts keeps its address under another id.
    """
    scripts = [scripted_gateway.Script(refusal)] * MAX_SENDS
    answers, gateway = ask_twice(scripts, "once", ["aaaa"], instance_ids)
    assert answers[0].status == 503
    assert len(gateway.requests) == gateway.connections_opened > 1


def test_each_send_that_did_not_run_leaves_a_line():
    """Guards against a request that ran twice without a trace of how."""
    scripts = [scripted_gateway.Script(NAMED_REFUSAL)] * MAX_SENDS
    with testing.capture_logs() as lines:
        ask_twice(scripts, "once", ["aaaa"])
    sends = [line for line in lines if line["event"] == "send not run"]
    assert [line["send"] for line in sends] == list(range(1, len(sends) + 1))
    for line in sends:
        assert line["id"] == line["answers"] == "aaaa"
        assert (line["status"], line["not_executed"]) == (503, True)
        assert (line["carried"], line["possible_runs"]) == (0, 0)
        assert (line["kind"], line["routed_by"]) == ("once", line["config"])
    assert lines[-1]["sends"] == len(sends) > 1


LOST = scripted_gateway.Script(b"HTTP/1.1 200 OK\r\nRequest-Id", ends=True)
FAILED = scripted_gateway.Script(ANSWER.replace(b"200 OK", b"500 No"))


@pytest.mark.parametrize(
    ("first", "status"), [(LOST, 502), (FAILED, 500)], ids=["lost", "failed"]
)
@pytest.mark.parametrize(
    "kind", [serving.RouteKind.IDEMPOTENT, serving.RouteKind.AT_MOST_ONCE]
)
def test_what_may_be_repeated_follows_the_route_in_force(first, status, kind):
    """Guards against a request that runs twice, as its route was another."""

    async def scenario():
        scripts = [first, scripted_gateway.Script(ANSWER)]
        gateway = scripted_gateway.ScriptedGateway(
            scripts, ("u1", "u2"), max_upstreams=2
        )
        gateway.before_answer = lambda: gateway.publish(plain=kind)
        caller = gateway.caller()
        answer = strict_response.parse(
            await caller.ask("POST", "plain", "aaaa")
        )
        caller.leave()
        return answer, gateway

    answer, gateway = asyncio.run(scenario())
    is_repeated = kind is serving.RouteKind.IDEMPOTENT
    assert len(gateway.requests) == 1 + is_repeated
    assert answer.status == (200 if is_repeated else status)


def test_no_decision_sends_a_request_again_that_may_have_run(monkeypatch):
    """Guards against a wrong decision that makes a request run twice."""
    monkeypatch.setattr(
        retry_policy,
        "decide_after_failure",
        lambda *_: (
            retry_policy.NextAction.RETRY
            if not stopped
            else retry_policy.NextAction.FAIL
        ),
    )
    stopped: list[bool] = []

    def log_prevented(*_) -> None:
        stopped.append(True)

    monkeypatch.setattr(request_log, "log_prevented_send", log_prevented)
    answers, gateway = ask_twice([LOST] * 2, "once", ["aaaa"])
    assert (answers[0].status, len(gateway.requests)) == (502, 1)
    assert stopped == [True]
