"""Tests that non-idempotent calls run at most once under faults.

They run deployments of real processes. Executions are counted by the services.
"""

import json
import signal
import threading
import time

import pytest
import urllib3

from sesamecross.devtools import demo
from sesamecross.devtools import processes


def repeat_order(caller, url, key, expected_status, timeout_s=20.0):
    """Repeats an order, as a client would, until it has the expected status.

    Returns:
      The documents of the refusals before that.
    """
    refusals = []
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        status, body = caller.order(url, key)
        if status == expected_status:
            return refusals
        refusals.append(json.loads(body))
        time.sleep(0.3)
    pytest.fail(f"no {expected_status} for {key}: {refusals[-3:]}")


def wait_for_groups(deployment):
    """Waits until the claim group of the first zone has all its stewards."""
    repeat_order(demo.Caller(), deployment.instances[0].entry_url, "warm", 200)
    time.sleep(3.0)


def set_log_faults(deployment, **faults):
    processes.post_json(f"{deployment.log_url}/fake/faults", faults)


def test_orders_go_on_through_a_log_outage_while_stewards_die(new_deployment):
    # R4: the log is down for long. The stewards of the home zone decide on
    # claims, and a witness in another zone stores the decisions. Then one of
    # the two stewards is killed. Orders still run, none of them twice.
    deployment = new_deployment(entries_per_zone=2)
    wait_for_groups(deployment)
    caller = demo.Caller()
    home, beside, far = (
        deployment.instances[0],
        deployment.instances[1],
        deployment.instances[-1],
    )
    set_log_faults(deployment, outage=True)
    repeat_order(caller, home.entry_url, "k1", 200)
    repeat_order(caller, far.entry_url, "k1", 200)
    repeat_order(caller, far.entry_url, "k2", 200)
    deployment.processes[f"steward-{home.name}"].kill()
    repeat_order(caller, beside.entry_url, "k3", 200)
    repeat_order(caller, far.entry_url, "k1", 200)
    set_log_faults(deployment, outage=False)
    repeat_order(caller, far.entry_url, "k3", 200)
    runs = {k: demo.count_order_runs(deployment, k) for k in ("k1", "k2", "k3")}
    assert runs == {"k1": 1, "k2": 1, "k3": 1}


def test_a_frozen_steward_is_replaced_and_resumes_safely(new_deployment):
    # R15: the leader of the zone's claim group is suspended. The other steward
    # continues in a new epoch; the first one resumes and learns that it has
    # been replaced.
    deployment = new_deployment(entries_per_zone=2)
    wait_for_groups(deployment)
    caller = demo.Caller()
    frozen = deployment.processes[f"steward-{deployment.instances[0].name}"]
    frozen.popen.send_signal(signal.SIGSTOP)
    try:
        far = deployment.instances[-1].entry_url
        repeat_order(caller, far, "f1", 200)
    finally:
        frozen.popen.send_signal(signal.SIGCONT)
    repeat_order(caller, deployment.instances[0].entry_url, "f1", 200)
    repeat_order(caller, deployment.instances[0].entry_url, "f2", 200)
    assert (
        demo.count_order_runs(deployment, "f1")
        == demo.count_order_runs(deployment, "f2")
        == 1
    )


def test_another_zone_takes_over_from_a_dead_home_zone(new_deployment):
    # Both stewards of the callers' home zone are killed while the log is
    # reachable. They died in contact with their peers, so they can't have
    # granted claims while isolated: another zone takes over without an
    # operator.
    deployment = new_deployment(entries_per_zone=2)
    wait_for_groups(deployment)
    caller = demo.Caller()
    repeat_order(caller, deployment.instances[0].entry_url, "d1", 200)
    # The answer can be repeated once its outcome is in the log.
    time.sleep(1.0)
    for instance in deployment.instances[:2]:
        deployment.processes[f"steward-{instance.name}"].kill()
        deployment.processes[f"entry-{instance.name}"].kill()
    far = deployment.instances[-1].entry_url
    repeat_order(caller, far, "d2", 200, 30.0)
    repeat_order(caller, far, "d1", 200)
    assert (
        demo.count_order_runs(deployment, "d1")
        == demo.count_order_runs(deployment, "d2")
        == 1
    )


def test_an_entry_dies_with_a_claimed_call(new_deployment):
    # R2: the entry is killed while the service processes the order. The outcome
    # is unknown; a repeated order is refused as such and never runs again.
    deployment = new_deployment(
        entries_per_zone=2, service_flags=("--work-ms", "3000")
    )
    wait_for_groups(deployment)
    caller = demo.Caller()
    first = deployment.instances[0]
    errors = []

    def send_order():
        # The connection breaks when the entry is killed.
        try:
            caller.order(first.entry_url, "e1")
        except urllib3.exceptions.HTTPError as error:
            errors.append(error)

    thread = threading.Thread(target=send_order)
    thread.start()
    while demo.count_order_runs(deployment, "e1") == 0:
        time.sleep(0.05)
    deployment.processes[f"entry-{first.name}"].kill()
    thread.join()
    refusals = []
    deadline = time.monotonic() + 20
    while time.monotonic() < deadline:
        status, body = caller.order(deployment.instances[-1].entry_url, "e1")
        refusals.append(json.loads(body))
        if refusals[-1]["type"].endswith("outcome-unknown"):
            break
        time.sleep(0.5)
    assert errors
    assert refusals[-1]["type"].endswith("outcome-unknown")
    assert {r["executed"] for r in refusals} == {"unknown"}
    assert demo.count_order_runs(deployment, "e1") == 1
