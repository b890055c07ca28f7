"""Calls to models over real processes under faults, one story each."""

import concurrent.futures
import hashlib
import json
import signal
import socket
import time

import conftest
import pytest
import urllib3

from sesamecross.devtools import demo
from sesamecross.devtools import deployment as deployment_lib
from sesamecross.devtools import processes

MODEL = "advice-fade"
TWO_REPLICAS = {
    "store": {"loads_per_second": 100, "full_speed_loads": 20},
    "models": {MODEL: {"replicas": 2}},
}


def texts(body):
    """Returns the generated words of a streamed answer, in order."""
    words = []
    for event in body.decode().split("\n\n"):
        data = event.removeprefix("data: ")
        if data.startswith("{"):
            for choice in json.loads(data)["choices"]:
                words += (choice["delta"].get("content") or "").split()
    return words


def numbers(body):
    return [int(word.split("-")[1]) for word in texts(body)]


def holders(deployment, model=MODEL):
    return [
        name
        for name, url in deployment.engine_urls.items()
        if model in processes.get_json(f"{url}/fake/stats")["resident"]
    ]


@pytest.fixture(scope="module")
def pair(tmp_path_factory):
    """A deployment in which one model has two replicas."""
    one = conftest.start_deployment(
        conftest.small_spec(extra=TWO_REPLICAS), tmp_path_factory.mktemp("pair")
    )
    until = time.monotonic() + 20
    while len(holders(one)) < 2:
        assert time.monotonic() < until
        time.sleep(0.1)
    # The entries hear of the replica with the next reports.
    time.sleep(1.5)
    yield one
    one.stop()


def faults(deployment, name, **values):
    url = deployment.engine_urls[name]
    processes.post_json(f"{url}/fake/faults", values)


@pytest.mark.parametrize("resume", [True, False])
def test_an_engine_that_dies_mid_stream_does_not_show(pair, resume):
    # R7: each engine drops a connection after five tokens, once. The call
    # goes on at the other replica, which resumes behind the last token or,
    # where it can't, gets the prompt with the text so far. The caller sees
    # each token once and in order.
    names = holders(pair)
    for name in names:
        faults(pair, name, resume=resume)
        faults(pair, name, die_after=5)
    try:
        status, body, _ = demo.Caller().chat(
            pair.instances[0].entry_url, MODEL, "die", 60
        )
    finally:
        for name in names:
            faults(pair, name, die_after=0, resume=True)
    found = numbers(body)
    assert status == 200
    if resume:
        assert found == list(range(1, 61))
    else:
        assert len(found) == 60
    assert body.endswith(b"data: [DONE]\n\n")


def test_an_engine_killed_before_the_first_byte(new_deployment):
    # R6: the engine is gone when the call arrives; nothing ran, so another
    # replica answers and nobody notices.
    one = new_deployment(extra=TWO_REPLICAS)
    until = time.monotonic() + 20
    while len(holders(one)) < 2:
        assert time.monotonic() < until
        time.sleep(0.1)
    time.sleep(1.5)
    one.processes[f"engine-{holders(one)[0]}"].kill()
    for number in range(10):
        status, body, _ = demo.Caller().chat(
            one.instances[0].entry_url, MODEL, f"k{number}", 5
        )
        assert (status, numbers(body)) == (200, [1, 2, 3, 4, 5])


def test_answers_are_never_crossed_under_load(pair):
    # R8: many callers at once; each answer must name its own prompt.
    caller = demo.Caller()
    prompts = [f"prompt {n}" for n in range(60)]

    def ask(prompt):
        place = hash(prompt) % len(pair.instances)
        url = pair.instances[place].entry_url
        return caller.chat(url, MODEL, prompt, 10)

    with concurrent.futures.ThreadPoolExecutor(20) as pool:
        answers = list(pool.map(ask, prompts))
    for prompt, (status, body, _) in zip(prompts, answers, strict=True):
        if status != 200:
            assert json.loads(body)["executed"] == "no"
            continue
        assert {word.split("-")[0] for word in texts(body)} == {
            _digest(f"user: {prompt}")
        }


def _digest(prompt):
    return hashlib.sha256(prompt.encode()).hexdigest()[:8]


def test_a_leaving_engine_gets_no_new_work(pair):
    # L1: an engine begins to leave. Its own refusal counts at once, long
    # before any list says so; calls go to the other replica.
    name = holders(pair)[0]
    faults(pair, name, leaving=True)
    try:
        for number in range(10):
            status, body, _ = demo.Caller().chat(
                pair.instances[0].entry_url, MODEL, f"l{number}", 3
            )
            assert (status, numbers(body)) == (200, [1, 2, 3])
        url = pair.engine_urls[name]
        before = len(processes.get_json(f"{url}/fake/stats")["calls"])
        demo.Caller().chat(pair.instances[0].entry_url, MODEL, "x", 3)
        after = len(processes.get_json(f"{url}/fake/stats")["calls"])
        assert after == before
    finally:
        faults(pair, name, leaving=False)


def test_a_drained_engine_gets_no_new_work_and_finishes_the_old(pair):
    # An operator drains an engine while it answers a call.
    name = holders(pair)[0]
    operator = demo.OperatorCli(pair)
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        old = [
            pool.submit(
                demo.Caller().chat,
                pair.instances[0].entry_url,
                MODEL,
                f"old{n}",
                100,
            )
            for n in range(8)
        ]
        time.sleep(0.3)
        assert operator.run("drain", name)[0] == 0
        time.sleep(2.0)
        url = pair.engine_urls[name]
        before = len(processes.get_json(f"{url}/fake/stats")["calls"])
        for number in range(6):
            demo.Caller().chat(
                pair.instances[1].entry_url, MODEL, f"n{number}", 2
            )
        after = len(processes.get_json(f"{url}/fake/stats")["calls"])
        done = [numbers(one.result()[1]) for one in old]
    assert operator.run("drain", name, "--end")[0] == 0
    assert after == before
    assert done == [list(range(1, 101))] * 8
    time.sleep(1.0)


def test_a_caller_who_leaves_frees_the_engine(pair):
    # R9: a skier closes the page in the middle of a long report. The engine
    # is told and stops working on it.
    url = pair.instances[0].entry_url
    response = urllib3.PoolManager().request(
        "POST",
        f"{url}/v1/chat/completions",
        json={
            "model": MODEL,
            "stream": True,
            "max_tokens": 5000,
            "messages": [{"role": "user", "content": "leave"}],
        },
        headers={"Authorization": f"Bearer {deployment_lib.CALLER_KEY}"},
        preload_content=False,
    )
    response.read1(200)
    response.close()
    until = time.monotonic() + 10
    while True:
        cancelled = sum(
            processes.get_json(f"{engine}/fake/stats")["cancelled"]
            for engine in pair.engine_urls.values()
        )
        if cancelled:
            break
        assert time.monotonic() < until
        time.sleep(0.1)


def test_a_slow_caller_harms_nobody(pair):
    # R10: a caller reads nothing of a long answer. Others are served as
    # before, and the entry's memory does not grow with it.
    host, port = pair.instances[0].entry_address.split(":")
    body = json.dumps(
        {
            "model": MODEL,
            "stream": True,
            "max_tokens": 4000,
            "messages": [{"role": "user", "content": "slow"}],
        }
    )
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
        f"Authorization: Bearer {deployment_lib.CALLER_KEY}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n{body}"
    )
    slow = []
    for _ in range(5):
        raw = socket.create_connection((host, int(port)))
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        raw.sendall(head.encode())
        slow.append(raw)
    try:
        for number in range(5):
            status, answer, _ = demo.Caller().chat(
                pair.instances[0].entry_url, MODEL, f"quick{number}", 5
            )
            assert (status, numbers(answer)) == (200, [1, 2, 3, 4, 5])
    finally:
        for raw in slow:
            raw.close()


def test_a_planned_stop_of_an_entry_cuts_off_nothing(new_deployment):
    # L2: an entry is stopped while it streams. Readiness fails first; the
    # open answer comes to its end; the exit code is 0.
    one = new_deployment()
    instance = one.instances[0]
    entry = one.processes[f"entry-{instance.name}"]
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        call = pool.submit(
            demo.Caller().chat, instance.entry_url, MODEL, "stop", 200
        )
        time.sleep(0.5)
        entry.terminate()
        time.sleep(0.1)
        ready = urllib3.request("GET", f"{instance.entry_url}/readyz")
        status, body, _ = call.result()
    assert ready.status == 503
    assert (status, numbers(body)) == (200, list(range(1, 201)))
    assert entry.wait() == 0


def test_a_second_interrupt_ends_an_entry_at_once(new_deployment):
    # L3: somebody at a terminal wants the process gone now.
    one = new_deployment()
    instance = one.instances[0]
    entry = one.processes[f"entry-{instance.name}"]
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        call = pool.submit(
            demo.Caller().chat, instance.entry_url, MODEL, "stop", 3000
        )
        time.sleep(0.5)
        entry.popen.send_signal(signal.SIGINT)
        time.sleep(0.2)
        entry.popen.send_signal(signal.SIGINT)
        assert entry.wait(5) == 3
        with pytest.raises(urllib3.exceptions.HTTPError):
            call.result()


def test_an_entry_that_is_asked_to_stop_twice_finishes_its_calls(
    new_deployment,
):
    # The platform and an operator asked for the same stop; the second SIGTERM
    # ended the entry with code 3 and cut its callers' answers off.
    one = new_deployment()
    instance = one.instances[0]
    entry = one.processes[f"entry-{instance.name}"]
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        call = pool.submit(
            demo.Caller().chat, instance.entry_url, MODEL, "twice", 200
        )
        time.sleep(0.5)
        entry.popen.send_signal(signal.SIGTERM)
        time.sleep(0.2)
        entry.popen.send_signal(signal.SIGTERM)
        status, body, _ = call.result()
    assert (status, numbers(body)) == (200, list(range(1, 201)))
    assert entry.wait() == 0


def test_an_entry_serves_on_its_last_view_without_its_steward(new_deployment):
    # The steward is killed. Calls to models go on; a call that needs a
    # claim is refused, and nothing false is said of it.
    one = new_deployment()
    instance = one.instances[0]
    one.processes[f"steward-{instance.name}"].kill()
    time.sleep(0.5)
    status, body, _ = demo.Caller().chat(instance.entry_url, MODEL, "v", 4)
    assert (status, numbers(body)) == (200, [1, 2, 3, 4])
    status, body = demo.Caller().order(instance.entry_url, "nobody")
    assert (status, json.loads(body)["executed"]) == (503, "unknown")
    assert demo.count_order_runs(one, "nobody") == 0
