"""Renders the deployment's status for people and as plain data."""

from typing import Any

from sesamecross.core import messages

Statuses = dict[str, messages.StatusReply | None]


def document(statuses: Statuses) -> dict[str, Any]:
    """Returns the status as plain data."""
    answering = {n: s for n, s in statuses.items() if s is not None}
    newest = max((s.version for s in answering.values()), default=0)
    best = max(answering.values(), key=lambda s: s.next_offset, default=None)
    return {
        "version": newest,
        "instances": {
            name: _instance(status, newest)
            for name, status in sorted(statuses.items())
        },
        "leases": best.leases if best else {},
        "upstreams": _upstreams(best),
        "unresolved_orders": [list(u) for u in best.unresolved] if best else [],
        "shortfalls": sorted(
            {text for s in answering.values() for text in s.unplaced}
        ),
        "open_claims": best.open_claims if best else 0,
        "moves": sum(s.moves for s in answering.values()),
    }


def _instance(
    status: messages.StatusReply | None, newest: int
) -> dict[str, Any]:
    if status is None:
        return {
            "state": "missing",
            "remedy": "see its logs; it or the way to it is down",
        }
    result: dict[str, Any] = {
        "state": "ok",
        "zone": status.zone,
        "version": status.version,
        "entry_version": status.entry_version,
        "log_reachable": status.log_reachable,
        "suspects": [
            peer.instance for peer in status.peers if peer.state != "alive"
        ],
    }
    remedies = []
    if not status.log_reachable:
        remedies.append("the log is out of reach: see the page on outages")
    if not status.entry_connected:
        remedies.append("its entry is away: see the entry's log")
    if status.version < newest:
        remedies.append(
            f"{newest - status.version} versions behind: it catches up when"
            " it reaches the log or a peer"
        )
    if remedies:
        result["state"] = "degraded"
        result["remedy"] = "; ".join(remedies)
    return result


def _upstreams(
    status: messages.StatusReply | None,
) -> dict[str, dict[str, Any]]:
    if status is None:
        return {}
    return {
        report.upstream: {
            "state": _upstream_state(report, status.draining),
            "used_mib": report.used_mib,
            "capacity_mib": report.capacity_mib,
            "running": report.running,
            "waiting": report.waiting,
            "resident": list(report.resident),
        }
        for report in status.reports
    }


def _upstream_state(report: Any, draining: tuple[str, ...]) -> str:
    if not report.reachable:
        return "unreachable"
    if report.leaving:
        return "leaving"
    return "draining" if report.upstream in draining else "live"


def lines(status: dict[str, Any]) -> list[str]:
    """Returns the status as lines of text."""
    result = [f"configuration version {status['version']} in force"]
    result.append("instances:")
    for name, one in status["instances"].items():
        result.append("  " + _instance_line(name, one))
    result.append("leases:")
    for zone, holder in status["leases"].items():
        result.append(f"  {zone}: {holder}")
    result.append("upstreams:")
    for name, one in status["upstreams"].items():
        result.append("  " + _upstream_line(name, one))
    result.append(
        f"moves {status['moves']}, unresolved orders"
        f" {len(status['unresolved_orders'])}, open claims"
        f" {status['open_claims']}"
    )
    result += [f"shortfall: {text}" for text in status["shortfalls"]]
    return result


def _instance_line(name: str, one: dict[str, Any]) -> str:
    if one["state"] == "missing":
        return f"{name}: missing; {one['remedy']}"
    text = (
        f"{name}: {one['state']}, {one['zone']}, version {one['version']},"
        f" entry at {one['entry_version']}"
    )
    if one["suspects"]:
        text += ", suspects " + " ".join(one["suspects"])
    if "remedy" in one:
        text += f"; {one['remedy']}"
    return text


def _upstream_line(name: str, one: dict[str, Any]) -> str:
    share = 0
    if one["capacity_mib"]:
        share = 100 * one["used_mib"] // one["capacity_mib"]
    return (
        f"{name}: {one['state']}, memory {one['used_mib']}"
        f"/{one['capacity_mib']} MiB ({share}%), running {one['running']},"
        f" waiting {one['waiting']}, resident {len(one['resident'])}"
    )
