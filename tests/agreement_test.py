"""What all instances agree on, over real processes and log outages."""

import json
import time

from sesamecross.devtools import demo
from sesamecross.devtools import processes


def versions(deployment):
    document = json.loads(
        demo.OperatorCli(deployment).run("status", "--json")[1]
    )
    return {
        name: one.get("entry_version")
        for name, one in document["instances"].items()
    }


def publish(deployment, text, *flags):
    path = deployment.config_dir / "97-change.toml"
    path.write_text(text)
    code, out = demo.OperatorCli(deployment).run(
        "publish", str(deployment.config_dir), "--json", *flags
    )
    return code, document_in(out)


def document_in(out):
    """Returns the JSON document behind the lines of progress."""
    return json.loads(out[out.index("{") :])


def test_an_instance_starts_while_the_log_is_down(new_deployment):
    # C3: the log is down and an instance is replaced. It takes the state
    # from a peer and serves with the configuration in force.
    one = new_deployment()
    instance = one.instances[0]
    for role in ("steward", "entry"):
        one.processes[f"{role}-{instance.name}"].kill()
    processes.post_json(f"{one.log_url}/fake/faults", {"outage": True})
    one.start_steward(instance)
    one.start_entry(instance)
    processes.wait_http(f"{instance.entry_url}/readyz")
    status, _, _ = demo.Caller().chat(
        instance.entry_url, "advice-fade", "peer", 3
    )
    assert status == 200


def test_an_instance_starts_behind_expired_records(new_deployment):
    # C4: the log has expired the first records, the configuration among
    # them. A snapshot was appended ahead of that, and an instance that
    # starts alone with the log comes to the same version.
    one = new_deployment(steward_settings={"snapshot_records": 50})
    before = versions(one)
    until = time.monotonic() + 30
    while not any(
        "snapshot is appended" in process.log_text()
        for name, process in one.processes.items()
        if name.startswith("steward")
    ):
        assert time.monotonic() < until
        time.sleep(0.2)
    time.sleep(1.0)
    processes.post_json(f"{one.log_url}/fake/faults", {"retention": 60})
    instance = one.instances[0]
    one.processes[f"steward-{instance.name}"].kill()
    one.start_steward(instance)
    until = time.monotonic() + 20
    while versions(one) != before:
        assert time.monotonic() < until
        time.sleep(0.2)


def test_racing_publishes_and_a_lost_answer(new_deployment):
    # C1 and C2: of two changes from one base one is accepted and the other
    # is told who was first; a change whose answer was lost counts once.
    one = new_deployment()
    base = str(
        json.loads(demo.OperatorCli(one).run("status", "--json")[1])["version"]
    )
    code, document = publish(one, "[weights]\nmoves = 3.0\n", "--base", base)
    assert (code, document["outcome"]) == (0, "accepted")
    code, document = publish(one, "[weights]\nmoves = 4.0\n", "--base", base)
    assert (code, document["outcome"]) == (3, "superseded")
    assert "superseded by" in document["problems"][0]["reason"]
    processes.post_json(f"{one.log_url}/fake/faults", {"lose_answers": 2})
    code, document = publish(one, "[weights]\nmoves = 5.0\n", "--wait")
    assert code == 0
    version = document["version"]
    assert version == int(base) + 2
    assert set(versions(one).values()) == {version}


def test_rollback_is_a_new_version_with_old_content(new_deployment):
    one = new_deployment()
    operator = demo.OperatorCli(one)
    publish(one, "[weights]\nmoves = 3.0\n")
    code, text = operator.run("rollback", "1", "--wait", "--json")
    assert (code, document_in(text)["version"]) == (0, 3)
    (one.config_dir / "97-change.toml").unlink()
    code, text = operator.run("diff", str(one.config_dir), "--json")
    assert json.loads(text)["changes"] == []
