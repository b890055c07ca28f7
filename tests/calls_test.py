"""Tests of calls to models under faults, with real processes."""

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


def generated_words(body):
    """Returns the generated words of a streamed answer, in order."""
    words = []
    for event in body.decode().split("\n\n"):
        data = event.removeprefix("data: ")
        if data.startswith("{"):
            for choice in json.loads(data)["choices"]:
                words += (choice["delta"].get("content") or "").split()
    return words


def token_numbers(body):
    return [int(word.split("-")[1]) for word in generated_words(body)]


def engines_with_model(deployment, model=MODEL):
    return [
        name
        for name, url in deployment.engine_urls.items()
        if model in processes.get_json(f"{url}/fake/stats")["resident"]
    ]


@pytest.fixture(scope="module")
def two_replicas(tmp_path_factory):
    """A deployment in which `MODEL` has two replicas."""
    deployment = conftest.start_deployment(
        conftest.small_spec(extra=TWO_REPLICAS), tmp_path_factory.mktemp("pair")
    )
    deadline = time.monotonic() + 20
    while len(engines_with_model(deployment)) < 2:
        assert time.monotonic() < deadline
        time.sleep(0.1)
    # The entries learn of the replica from the next reports.
    time.sleep(1.5)
    yield deployment
    deployment.stop()


def runs_at(deployment, name):
    url = deployment.engine_urls[name]
    calls = processes.get_json(f"{url}/fake/stats")["calls"]
    return sum(calls.values())


def set_faults(deployment, name, **values):
    url = deployment.engine_urls[name]
    processes.post_json(f"{url}/fake/faults", values)


@pytest.mark.parametrize("resume", [True, False])
def test_a_stream_continues_when_its_engine_fails(two_replicas, resume):
    # R7: each engine drops one connection after five tokens. The other replica
    # continues the call: it resumes after the last token or, if it can't, gets
    # the prompt with the text so far. The caller gets each token once and in
    # order.
    names = engines_with_model(two_replicas)
    for name in names:
        set_faults(two_replicas, name, resume=resume)
        set_faults(two_replicas, name, die_after=5)
    try:
        status, body, _ = demo.Caller().chat(
            two_replicas.instances[0].entry_url, MODEL, "die", 60
        )
    finally:
        for name in names:
            set_faults(two_replicas, name, die_after=0, resume=True)
    token_list = token_numbers(body)
    assert status == 200
    if resume:
        assert token_list == list(range(1, 61))
    else:
        assert len(token_list) == 60
    assert body.endswith(b"data: [DONE]\n\n")


def test_a_stream_is_not_continued_by_another_version(two_replicas):
    """Guards against an answer with tokens of two software versions."""
    names = engines_with_model(two_replicas)
    for number, name in enumerate(names):
        set_faults(two_replicas, name, version=f"v{number}", die_after=5)
    # The entries learn of the versions from the next reports.
    time.sleep(1.5)
    before = [runs_at(two_replicas, name) for name in names]
    try:
        status, body, _ = demo.Caller().chat(
            two_replicas.instances[0].entry_url, MODEL, "versions", 40
        )
    finally:
        for name in names:
            set_faults(two_replicas, name, die_after=0, version="1")
        time.sleep(1.5)
    after = [runs_at(two_replicas, name) for name in names]
    assert (status, token_numbers(body)) == (200, list(range(1, 41)))
    # The engine that began it was tried again.
    assert sorted(b - a for a, b in zip(before, after, strict=True)) == [0, 2]


def test_an_engine_killed_before_the_first_byte(new_deployment):
    # R6: the engine is dead when the call arrives. Nothing was executed, so
    # another replica answers, and callers see no error.
    deployment = new_deployment(extra=TWO_REPLICAS)
    deadline = time.monotonic() + 20
    while len(engines_with_model(deployment)) < 2:
        assert time.monotonic() < deadline
        time.sleep(0.1)
    time.sleep(1.5)
    deployment.processes[f"engine-{engines_with_model(deployment)[0]}"].kill()
    for number in range(10):
        status, body, _ = demo.Caller().chat(
            deployment.instances[0].entry_url, MODEL, f"k{number}", 5
        )
        assert (status, token_numbers(body)) == (200, [1, 2, 3, 4, 5])


def test_answers_are_never_mixed_up_under_load(two_replicas):
    # R8: with many concurrent callers, each answer must name its own prompt.
    caller = demo.Caller()
    prompts = [f"prompt {n}" for n in range(60)]

    def send_prompt(prompt):
        index = hash(prompt) % len(two_replicas.instances)
        url = two_replicas.instances[index].entry_url
        return caller.chat(url, MODEL, prompt, 10)

    with concurrent.futures.ThreadPoolExecutor(20) as pool:
        answers = list(pool.map(send_prompt, prompts))
    for prompt, (status, body, _) in zip(prompts, answers, strict=True):
        if status != 200:
            assert json.loads(body)["executed"] == "no"
            continue
        assert {word.split("-")[0] for word in generated_words(body)} == {
            _digest(f"user: {prompt}")
        }


def _digest(prompt):
    return hashlib.sha256(prompt.encode()).hexdigest()[:8]


def test_a_leaving_engine_gets_no_new_work(two_replicas):
    # L1: an engine starts to leave. Its own refusal takes effect at once, long
    # before any list shows it, and calls go to the other replica.
    name = engines_with_model(two_replicas)[0]
    set_faults(two_replicas, name, leaving=True)
    try:
        for number in range(10):
            status, body, _ = demo.Caller().chat(
                two_replicas.instances[0].entry_url, MODEL, f"l{number}", 3
            )
            assert (status, token_numbers(body)) == (200, [1, 2, 3])
        url = two_replicas.engine_urls[name]
        before = len(processes.get_json(f"{url}/fake/stats")["calls"])
        demo.Caller().chat(two_replicas.instances[0].entry_url, MODEL, "x", 3)
        after = len(processes.get_json(f"{url}/fake/stats")["calls"])
        assert after == before
    finally:
        set_faults(two_replicas, name, leaving=False)


def test_a_drained_engine_gets_no_new_work_and_finishes_the_old(two_replicas):
    # An operator drains an engine while it answers calls.
    name = engines_with_model(two_replicas)[0]
    operator = demo.OperatorCli(two_replicas)
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        old = [
            pool.submit(
                demo.Caller().chat,
                two_replicas.instances[0].entry_url,
                MODEL,
                f"old{n}",
                100,
            )
            for n in range(8)
        ]
        time.sleep(0.3)
        assert operator.run("drain", name)[0] == 0
        time.sleep(2.0)
        url = two_replicas.engine_urls[name]
        before = len(processes.get_json(f"{url}/fake/stats")["calls"])
        for number in range(6):
            demo.Caller().chat(
                two_replicas.instances[1].entry_url, MODEL, f"n{number}", 2
            )
        after = len(processes.get_json(f"{url}/fake/stats")["calls"])
        done = [token_numbers(call.result()[1]) for call in old]
    assert operator.run("drain", name, "--end")[0] == 0
    assert after == before
    assert done == [list(range(1, 101))] * 8
    time.sleep(1.0)


def test_a_disconnected_caller_frees_the_engine(two_replicas):
    # R9: a caller disconnects during a long answer. The engine is told to
    # cancel the call and stops working on it.
    url = two_replicas.instances[0].entry_url
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
    deadline = time.monotonic() + 10
    while True:
        cancelled = sum(
            processes.get_json(f"{engine}/fake/stats")["cancelled"]
            for engine in two_replicas.engine_urls.values()
        )
        if cancelled:
            break
        assert time.monotonic() < deadline
        time.sleep(0.1)


def test_a_slow_caller_does_not_affect_others(two_replicas):
    # R10: a caller reads nothing of a long answer. Other callers are served as
    # before. That the entry's memory must not grow is not checked here.
    host, port = two_replicas.instances[0].entry_address.split(":")
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
    slow_connections = []
    for _ in range(5):
        connection = socket.create_connection((host, int(port)))
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        connection.sendall(head.encode())
        slow_connections.append(connection)
    try:
        for number in range(5):
            status, answer, _ = demo.Caller().chat(
                two_replicas.instances[0].entry_url, MODEL, f"quick{number}", 5
            )
            assert (status, token_numbers(answer)) == (200, [1, 2, 3, 4, 5])
    finally:
        for connection in slow_connections:
            connection.close()


def test_a_planned_stop_of_an_entry_completes_its_calls(new_deployment):
    # L2: an entry is stopped while it streams. Readiness fails first, the open
    # answer is completed, and the exit code is 0.
    deployment = new_deployment()
    instance = deployment.instances[0]
    entry = deployment.processes[f"entry-{instance.name}"]
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
    assert (status, token_numbers(body)) == (200, list(range(1, 201)))
    assert entry.wait() == 0


def test_a_second_interrupt_ends_an_entry_at_once(new_deployment):
    # L3: a second interrupt at a terminal ends the process immediately.
    deployment = new_deployment()
    instance = deployment.instances[0]
    entry = deployment.processes[f"entry-{instance.name}"]
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


def test_a_second_sigterm_does_not_cut_off_calls(
    new_deployment,
):
    # The platform and an operator both request the stop. The second SIGTERM
    # used to end the entry with code 3 and cut off its callers' answers.
    deployment = new_deployment()
    instance = deployment.instances[0]
    entry = deployment.processes[f"entry-{instance.name}"]
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        call = pool.submit(
            demo.Caller().chat, instance.entry_url, MODEL, "twice", 200
        )
        time.sleep(0.5)
        entry.popen.send_signal(signal.SIGTERM)
        time.sleep(0.2)
        entry.popen.send_signal(signal.SIGTERM)
        status, body, _ = call.result()
    assert (status, token_numbers(body)) == (200, list(range(1, 201)))
    assert entry.wait() == 0


def test_an_entry_serves_on_its_last_view_without_its_steward(new_deployment):
    # The steward is killed. Calls to models still succeed. A call that needs a
    # claim is refused, with `executed` "unknown", and does not run.
    deployment = new_deployment()
    instance = deployment.instances[0]
    deployment.processes[f"steward-{instance.name}"].kill()
    time.sleep(0.5)
    status, body, _ = demo.Caller().chat(instance.entry_url, MODEL, "v", 4)
    assert (status, token_numbers(body)) == (200, [1, 2, 3, 4])
    status, body = demo.Caller().order(instance.entry_url, "nobody")
    assert (status, json.loads(body)["executed"]) == (503, "unknown")
    assert demo.count_order_runs(deployment, "nobody") == 0
