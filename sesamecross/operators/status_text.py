"""Renders the deployment's status as text and as plain data."""

from typing import Any

from sesamecross.core import messages

Statuses = dict[str, messages.StatusReply | None]


def document(statuses: Statuses) -> dict[str, Any]:
    """Returns the status as plain data."""
    answering = {n: s for n, s in statuses.items() if s is not None}
    newest = max((s.version for s in answering.values()), default=0)
    latest = max(answering.values(), key=lambda s: s.next_offset, default=None)
    return {
        "version": newest,
        "instances": {
            name: _instance(status, newest)
            for name, status in sorted(statuses.items())
        },
        "leases": latest.leases if latest else {},
        "upstreams": _upstreams(latest),
        "unresolved_orders": [list(u) for u in latest.unresolved]
        if latest
        else [],
        "shortfalls": sorted(
            {text for s in answering.values() for text in s.unplaced}
        ),
        "open_claims": latest.open_claims if latest else 0,
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
    for name, info in status["instances"].items():
        result.append("  " + _instance_line(name, info))
    result.append("leases:")
    for zone, holder in status["leases"].items():
        result.append(f"  {zone}: {holder}")
    result.append("upstreams:")
    for name, info in status["upstreams"].items():
        result.append("  " + _upstream_line(name, info))
    result.append(
        f"moves {status['moves']}, unresolved orders"
        f" {len(status['unresolved_orders'])}, open claims"
        f" {status['open_claims']}"
    )
    result += [f"shortfall: {text}" for text in status["shortfalls"]]
    return result


def _instance_line(name: str, info: dict[str, Any]) -> str:
    if info["state"] == "missing":
        return f"{name}: missing; {info['remedy']}"
    text = (
        f"{name}: {info['state']}, {info['zone']}, version {info['version']},"
        f" entry at {info['entry_version']}"
    )
    if info["suspects"]:
        text += ", suspects " + " ".join(info["suspects"])
    if "remedy" in info:
        text += f"; {info['remedy']}"
    return text


def _upstream_line(name: str, info: dict[str, Any]) -> str:
    share = 0
    if info["capacity_mib"]:
        share = 100 * info["used_mib"] // info["capacity_mib"]
    return (
        f"{name}: {info['state']}, memory {info['used_mib']}"
        f"/{info['capacity_mib']} MiB ({share}%), running {info['running']},"
        f" waiting {info['waiting']}, resident {len(info['resident'])}"
    )
