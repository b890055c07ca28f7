"""Calls that may not be repeated, over real processes under faults.

What ran is read from the services' own records.
"""

import json
import signal
import threading
import time

import pytest
import urllib3

from sesamecross.devtools import demo
from sesamecross.devtools import processes


def order_until(caller, url, key, wanted, timeout_s=20.0):
    """Sends one order again, as a client would, until it is answered.

    Returns:
      All documents of refusals on the way.
    """
    refusals = []
    until = time.monotonic() + timeout_s
    while time.monotonic() < until:
        status, body = caller.order(url, key)
        if status == wanted:
            return refusals
        refusals.append(json.loads(body))
        time.sleep(0.3)
    pytest.fail(f"no {wanted} for {key}: {refusals[-3:]}")


def settle_groups(deployment):
    """Waits until the first zone's group has all its stewards."""
    order_until(demo.Caller(), deployment.instances[0].entry_url, "warm", 200)
    time.sleep(3.0)


def set_log(deployment, **faults):
    processes.post_json(f"{deployment.log_url}/fake/faults", faults)


def test_orders_go_on_through_a_log_outage_while_stewards_die(new_deployment):
    # R4: the log is down for long. The home zone's stewards decide, a
    # witness in another zone keeps what they decide. Then one of the two
    # stewards is killed, and orders still go on, none of them twice.
    one = new_deployment(entries_per_zone=2)
    settle_groups(one)
    caller = demo.Caller()
    home, beside, far = one.instances[0], one.instances[1], one.instances[-1]
    set_log(one, outage=True)
    order_until(caller, home.entry_url, "k1", 200)
    order_until(caller, far.entry_url, "k1", 200)
    order_until(caller, far.entry_url, "k2", 200)
    one.processes[f"steward-{home.name}"].kill()
    order_until(caller, beside.entry_url, "k3", 200)
    order_until(caller, far.entry_url, "k1", 200)
    set_log(one, outage=False)
    order_until(caller, far.entry_url, "k3", 200)
    runs = {k: demo.count_order_runs(one, k) for k in ("k1", "k2", "k3")}
    assert runs == {"k1": 1, "k2": 1, "k3": 1}


def test_a_frozen_steward_is_left_behind_and_wakes_without_harm(new_deployment):
    # R15: the leader of the zone's group is frozen. The other goes on in a
    # new epoch; the frozen one wakes and learns that it has been replaced.
    one = new_deployment(entries_per_zone=2)
    settle_groups(one)
    caller = demo.Caller()
    frozen = one.processes[f"steward-{one.instances[0].name}"]
    frozen.popen.send_signal(signal.SIGSTOP)
    try:
        far = one.instances[-1].entry_url
        order_until(caller, far, "f1", 200)
    finally:
        frozen.popen.send_signal(signal.SIGCONT)
    order_until(caller, one.instances[0].entry_url, "f1", 200)
    order_until(caller, one.instances[0].entry_url, "f2", 200)
    assert (
        demo.count_order_runs(one, "f1")
        == demo.count_order_runs(one, "f2")
        == 1
    )


def test_the_home_zone_dies_whole_and_others_take_over(new_deployment):
    # Both stewards of the callers' home zone are killed in fair weather.
    # They died in contact, so nothing can have been claimed in the dark:
    # another zone takes over without an operator.
    one = new_deployment(entries_per_zone=2)
    settle_groups(one)
    caller = demo.Caller()
    order_until(caller, one.instances[0].entry_url, "d1", 200)
    # The answer is remembered once its outcome is on the log.
    time.sleep(1.0)
    for instance in one.instances[:2]:
        one.processes[f"steward-{instance.name}"].kill()
        one.processes[f"entry-{instance.name}"].kill()
    far = one.instances[-1].entry_url
    order_until(caller, far, "d2", 200, 30.0)
    order_until(caller, far, "d1", 200)
    assert (
        demo.count_order_runs(one, "d1")
        == demo.count_order_runs(one, "d2")
        == 1
    )


def test_an_entry_dies_with_a_claimed_call(new_deployment):
    # R2: the entry is killed while the service works on the order. Nobody
    # knows the outcome; a repeated order is told so and never runs again.
    one = new_deployment(
        entries_per_zone=2, service_flags=("--work-ms", "3000")
    )
    settle_groups(one)
    caller = demo.Caller()
    first = one.instances[0]
    lost = []

    def send():
        # The connection is cut together with the entry.
        try:
            caller.order(first.entry_url, "e1")
        except urllib3.exceptions.HTTPError as error:
            lost.append(error)

    thread = threading.Thread(target=send)
    thread.start()
    while demo.count_order_runs(one, "e1") == 0:
        time.sleep(0.05)
    one.processes[f"entry-{first.name}"].kill()
    thread.join()
    refusals = []
    until = time.monotonic() + 20
    while time.monotonic() < until:
        status, body = caller.order(one.instances[-1].entry_url, "e1")
        refusals.append(json.loads(body))
        if refusals[-1]["type"].endswith("outcome-unknown"):
            break
        time.sleep(0.5)
    assert lost
    assert refusals[-1]["type"].endswith("outcome-unknown")
    assert {r["executed"] for r in refusals} == {"unknown"}
    assert demo.count_order_runs(one, "e1") == 1
