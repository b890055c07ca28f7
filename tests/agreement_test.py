"""Tests that all instances agree on the configuration despite log outages.

They run deployments of real processes.
"""

import json
import time

from sesamecross.devtools import demo
from sesamecross.devtools import processes


def versions(deployment):
    document = json.loads(
        demo.OperatorCli(deployment).run("status", "--json")[1]
    )
    return {
        name: instance.get("entry_version")
        for name, instance in document["instances"].items()
    }


def publish(deployment, text, *flags):
    path = deployment.config_dir / "97-change.toml"
    path.write_text(text)
    code, out = demo.OperatorCli(deployment).run(
        "publish", str(deployment.config_dir), "--json", *flags
    )
    return code, parse_document(out)


def parse_document(out):
    """Returns the JSON document that follows the progress lines."""
    return json.loads(out[out.index("{") :])


def test_an_instance_starts_while_the_log_is_down(new_deployment):
    # C3: an instance is replaced while the log is down. It gets the state from
    # a peer and serves with the configuration in force.
    deployment = new_deployment()
    instance = deployment.instances[0]
    for role in ("steward", "entry"):
        deployment.processes[f"{role}-{instance.name}"].kill()
    processes.post_json(f"{deployment.log_url}/fake/faults", {"outage": True})
    deployment.start_steward(instance)
    deployment.start_entry(instance)
    processes.wait_http(f"{instance.entry_url}/readyz")
    status, _, _ = demo.Caller().chat(
        instance.entry_url, "advice-fade", "peer", 3
    )
    assert status == 200


def test_an_instance_starts_behind_expired_records(new_deployment):
    # C4: the first records of the log, including the configuration, expire
    # after a snapshot was appended. An instance that then starts with the log
    # alone reaches the same version.
    deployment = new_deployment(steward_settings={"snapshot_records": 50})
    before = versions(deployment)
    deadline = time.monotonic() + 30
    while not any(
        "snapshot is appended" in process.log_text()
        for name, process in deployment.processes.items()
        if name.startswith("steward")
    ):
        assert time.monotonic() < deadline
        time.sleep(0.2)
    time.sleep(1.0)
    processes.post_json(f"{deployment.log_url}/fake/faults", {"retention": 60})
    instance = deployment.instances[0]
    deployment.processes[f"steward-{instance.name}"].kill()
    deployment.start_steward(instance)
    deadline = time.monotonic() + 20
    while versions(deployment) != before:
        assert time.monotonic() < deadline
        time.sleep(0.2)


def test_racing_publishes_and_a_lost_answer(new_deployment):
    # C1 and C2: of two changes with the same base one is accepted, and the
    # other is refused with the change that superseded it. A change whose
    # acknowledgement is lost is applied once.
    deployment = new_deployment()
    base = str(
        json.loads(demo.OperatorCli(deployment).run("status", "--json")[1])[
            "version"
        ]
    )
    code, document = publish(
        deployment, "[weights]\nmoves = 3.0\n", "--base", base
    )
    assert (code, document["outcome"]) == (0, "accepted")
    code, document = publish(
        deployment, "[weights]\nmoves = 4.0\n", "--base", base
    )
    assert (code, document["outcome"]) == (3, "superseded")
    assert "superseded by" in document["problems"][0]["reason"]
    processes.post_json(
        f"{deployment.log_url}/fake/faults", {"lose_answers": 2}
    )
    code, document = publish(deployment, "[weights]\nmoves = 5.0\n", "--wait")
    assert code == 0
    version = document["version"]
    assert version == int(base) + 2
    assert set(versions(deployment).values()) == {version}


def test_rollback_is_a_new_version_with_old_content(new_deployment):
    deployment = new_deployment()
    operator = demo.OperatorCli(deployment)
    publish(deployment, "[weights]\nmoves = 3.0\n")
    code, text = operator.run("rollback", "1", "--wait", "--json")
    assert (code, parse_document(text)["version"]) == (0, 3)
    (deployment.config_dir / "97-change.toml").unlink()
    code, text = operator.run("diff", str(deployment.config_dir), "--json")
    assert json.loads(text)["changes"] == []
