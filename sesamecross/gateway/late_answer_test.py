"""Tests of second answers on a kept connection: whose request they answer."""

import asyncio

import pytest
from structlog import testing

from sesamecross.fakes import scripted_gateway
from sesamecross.fakes import strict_response

MAX_SENDS = 10
ANSWER = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n"
    b"Content-Length: 4\r\n\r\n{id}"
)
REFUSAL = b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
ANONYMOUS = (
    b"HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nContent-Length: 4\r\n\r\n"
)


def ask_twice(
    scripts: list[scripted_gateway.Script], route: str, request_ids: list[str]
) -> tuple[list[strict_response.Answer], scripted_gateway.ScriptedGateway]:
    """Returns the answers to requests on a caller's connection, one by one."""

    async def scenario():
        gateway = scripted_gateway.ScriptedGateway(scripts)
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


def test_a_refusal_on_a_new_connection_is_the_requests_own():
    """Guards against a failure where the request can be sent again."""
    scripts = [scripted_gateway.Script(REFUSAL)] * MAX_SENDS
    answers, _ = ask_twice(scripts, "once", ["aaaa"])
    assert answers[0].status == 503


def test_a_late_answer_without_an_id_answers_no_other_request():
    """Guards against an answer that another caller asked for."""
    scripts = [
        scripted_gateway.Script(ANONYMOUS + b"1111"),
        scripted_gateway.Script(ANONYMOUS + b"1111" + ANONYMOUS + b"2222"),
    ]
    answers, gateway = ask_twice(scripts, "once", ["", ""])
    assert answers[0].body == b"1111"
    assert gateway.connections_opened == 2


def test_a_request_is_sent_once_on_a_connection():
    """Guards against a late refusal of its first try that refuses its next."""
    refusal = REFUSAL.replace(b"Busy\r\n", b"Busy\r\nRequest-Id: {id}\r\n")
    scripts = [scripted_gateway.Script(refusal)] * MAX_SENDS
    answers, gateway = ask_twice(scripts, "once", ["aaaa"])
    assert answers[0].status == 503
    assert len(gateway.requests) == gateway.connections_opened > 1


def test_each_send_that_did_not_run_leaves_a_line():
    """Guards against a request that ran twice without a trace of how."""
    refusal = REFUSAL.replace(b"Busy\r\n", b"Busy\r\nRequest-Id: {id}\r\n")
    scripts = [scripted_gateway.Script(refusal)] * MAX_SENDS
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
