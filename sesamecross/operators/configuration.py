"""The commands check, diff, publish, explain and rollback."""

from collections.abc import Callable
import json
import pathlib
import time
from typing import Any
import uuid

from returns.result import Failure

from sesamecross.core import errors
from sesamecross.core import records
from sesamecross.operators import fleet as fleet_lib
from sesamecross.operators import log_state
from sesamecross.operators import outcomes
from sesamecross.ops import config_log
from sesamecross.parser import declarations
from sesamecross.parser import folder as folder_lib
from sesamecross.utils import digest
from sesamecross.utils import merge_patch

ReportProgress = Callable[[str], None]
VERDICT_TIMEOUT_S = 5.0
VERDICT_POLL_S = 0.05
ROLLOUT_TIMEOUT_S = 30.0
ROLLOUT_POLL_S = 0.1


def check(folder: pathlib.Path) -> outcomes.Outcome:
    """Reports every error of a folder; changes nothing."""
    checked = folder_lib.check(folder)
    problems = [outcomes.problem_document(p) for p in checked.problems]
    if checked.declarations is None:
        count = len(problems)
        noun = "problem" if count == 1 else "problems"
        return outcomes.Outcome(
            outcomes.ExitCode.PROBLEMS,
            {"ok": False, "problems": problems},
            (f"{count} {noun}; nothing was changed",),
            checked.problems,
        )
    declared = checked.declarations
    counts = {
        "zones": len(declared.zones),
        "engines": len(declared.engines()),
        "models": len(declared.models),
        "adapters": len(declared.adapters),
        "services": len(declared.services),
        "callers": len(declared.callers),
    }
    text = ", ".join(f"{number} {name}" for name, number in counts.items())
    return outcomes.Outcome(
        outcomes.ExitCode.OK, {"ok": True, "counts": counts}, (f"good: {text}",)
    )


def flatten(tree: dict, prefix: tuple[str, ...] = ()) -> dict[str, Any]:
    """Returns a tree's values by dotted key."""
    found = {}
    for key, value in tree.items():
        path = (*prefix, key)
        if isinstance(value, dict) and value:
            found.update(flatten(value, path))
        else:
            found[".".join(path)] = value
    return found


def _changes(old: dict, new: dict) -> list[dict[str, Any]]:
    before = flatten(old)
    after = flatten(new)
    return [
        {"key": key, "old": before.get(key), "new": after.get(key)}
        for key in sorted(before.keys() | after.keys())
        if before.get(key) != after.get(key)
        or (key in before) != (key in after)
    ]


def _change_lines(changes: list[dict[str, Any]]) -> list[str]:
    lines = []
    for change in changes:
        old = json.dumps(change["old"])
        new = json.dumps(change["new"])
        if change["old"] is None:
            lines.append(f"+ {change['key']} = {new}")
        elif change["new"] is None:
            lines.append(f"- {change['key']} = {old}")
        else:
            lines.append(f"~ {change['key']} = {old} -> {new}")
    return lines


def diff(folder: pathlib.Path, log_url: str) -> outcomes.Outcome:
    """Shows what publishing the folder would change."""
    checked = folder_lib.check(folder)
    if checked.declarations is None:
        return outcomes.failed(outcomes.ExitCode.PROBLEMS, checked.problems)
    log = log_state.LogState.read(log_url)
    config = log.state.config.state
    changes = _changes(config.tree, checked.merged.tree)
    lines = _change_lines(changes) or ["no difference"]
    return outcomes.Outcome(
        outcomes.ExitCode.OK,
        {"version": config.version, "changes": changes},
        (f"against version {config.version}:", *lines),
    )


def explain(folder: pathlib.Path, key: str) -> outcomes.Outcome:
    """Shows which file set a key and which files it overrode."""
    checked = folder_lib.check(folder)
    path = tuple(key.split("."))
    settings = checked.merged.origins.get(path)
    if not settings:
        similar = [k for k in flatten(checked.merged.tree) if key in k][:5]
        remedy = "see `check` for what is declared"
        if similar:
            remedy = "did you mean " + " or ".join(similar) + "?"
        problem = errors.Problem(str(folder), key, "is set by no file", remedy)
        return outcomes.failed(outcomes.ExitCode.PROBLEMS, [problem])
    value: Any = checked.merged.tree
    for part in path:
        value = value[part]
    history = [
        {"file": setting.file, "value": setting.value} for setting in settings
    ]
    lines = [f"{key} = {json.dumps(value)}", f"set by {settings[-1].file}"]
    lines += [
        f"overrides {setting.file}: {json.dumps(setting.value)}"
        for setting in reversed(settings[:-1])
    ]
    return outcomes.Outcome(
        outcomes.ExitCode.OK,
        {"key": key, "value": value, "set_by": history},
        tuple(lines),
    )


def publish(
    folder: pathlib.Path,
    log_url: str,
    author: str,
    note: str,
    base: int | None,
    change_id: str | None,
    fleet: fleet_lib.Fleet | None,
    report_progress: ReportProgress,
    interrupted: outcomes.InterruptOutcome,
) -> outcomes.Outcome:
    """Publishes a folder and waits for the verdict on the log.

    Args:
      folder: The folder of declarations to publish.
      log_url: URL of the platform's log.
      author: The author, recorded for other operators.
      note: The reason, recorded for other operators.
      base: The version that the folder is based on; None for the current one.
      change_id: The id of an earlier attempt whose outcome is unknown, or None.
      fleet: The stewards to poll until the change is in force everywhere, or
        None to return once it is accepted.
      report_progress: Prints a progress message.
      interrupted: Updated with what is known of the change so far.
    """
    checked = folder_lib.check(folder)
    if checked.declarations is None:
        return outcomes.failed(outcomes.ExitCode.PROBLEMS, checked.problems)
    return _publish_tree(
        checked.merged.tree,
        log_url,
        author,
        note,
        base,
        change_id or uuid.uuid4().hex[:16],
        fleet,
        report_progress,
        interrupted,
    )


def rollback(
    version: int,
    log_url: str,
    author: str,
    fleet: fleet_lib.Fleet | None,
    report_progress: ReportProgress,
    interrupted: outcomes.InterruptOutcome,
) -> outcomes.Outcome:
    """Publishes an older version's content as a new version."""
    log = log_state.LogState.read(log_url)
    tree = log.state.config.tree_at(version)
    if tree is None:
        oldest = _oldest_kept_version(log.state.config)
        problem = errors.Problem(
            log_url,
            "",
            f"version {version} is not kept",
            f"choose one from {oldest} to {log.state.config.state.version},"
            " or publish its folder",
            errors.Kind.EXPIRED,
        )
        return outcomes.failed(outcomes.ExitCode.PROBLEMS, [problem])
    return _publish_tree(
        tree,
        log_url,
        author,
        f"rollback to version {version}",
        None,
        uuid.uuid4().hex[:16],
        fleet,
        report_progress,
        interrupted,
    )


def _oldest_kept_version(config: config_log.ConfigLog) -> int:
    history = config.state.history
    return history[0].version - 1 if history else config.state.version


def _publish_tree(
    tree: dict,
    log_url: str,
    author: str,
    note: str,
    base: int | None,
    change_id: str,
    fleet: fleet_lib.Fleet | None,
    report_progress: ReportProgress,
    interrupted: outcomes.InterruptOutcome,
) -> outcomes.Outcome:
    log = log_state.LogState.read(log_url)
    # From here on the record may reach the log; the change id identifies it.
    not_known_yet = _not_known_yet(change_id, log_url)
    interrupted.outcome = not_known_yet
    verdict = _verdict(
        log, tree, author, note, base, change_id, report_progress
    )
    if verdict is None:
        return not_known_yet
    outcome = _verdict_outcome(verdict)
    if outcome.code is not outcomes.ExitCode.OK or fleet is None:
        interrupted.outcome = outcome
        return outcome
    line = f"accepted as version {verdict.version}"
    interrupted.outcome = outcomes.Outcome(
        outcomes.ExitCode.PARTIAL,
        outcome.document,
        (f"{line}; interrupted before it was seen in force everywhere",),
    )
    report_progress(line)
    return _await_rollout(
        verdict.version, fleet, dict(outcome.document), report_progress
    )


def _verdict(
    log: log_state.LogState,
    tree: dict,
    author: str,
    note: str,
    base: int | None,
    change_id: str,
    report_progress: ReportProgress,
) -> config_log.Verdict | None:
    """Appends a change unless the log has it, and waits for the verdict."""
    config = log.state.config
    if change_id not in config.state.verdicts:
        base_version = config.state.version if base is None else base
        base_tree = config.tree_at(base_version)
        if base_tree is None:
            base_tree = config.state.tree
        change = records.ConfigPublished(
            change_id,
            base_version,
            author,
            declarations.FORMAT_MAX,
            merge_patch.diff(base_tree, tree),
            digest.of_tree(tree),
            note,
        )
        report_progress(
            f"publishing change {change_id} from version {base_version}"
        )
        appended = log.append(change)
        if isinstance(appended, Failure):
            report_progress(str(appended.failure()))
    return _await_verdict(log, change_id)


def _await_verdict(
    log: log_state.LogState, change_id: str
) -> config_log.Verdict | None:
    deadline_s = time.monotonic() + VERDICT_TIMEOUT_S
    while time.monotonic() < deadline_s:
        log.refresh()
        verdict = log.state.config.state.verdicts.get(change_id)
        if verdict is not None:
            return verdict
        time.sleep(VERDICT_POLL_S)
    return None


def _not_known_yet(change_id: str, log_url: str) -> outcomes.Outcome:
    problem = errors.Problem(
        log_url,
        "",
        f"the verdict on change {change_id} is not known yet",
        f"run `sesamecross publish --change-id {change_id} FOLDER` again;"
        " it counts once",
        errors.Kind.NOT_KNOWN_YET,
    )
    return outcomes.Outcome(
        outcomes.ExitCode.NOT_KNOWN_YET,
        {"change_id": change_id, "outcome": "not-known-yet"},
        (),
        (problem,),
    )


def _verdict_outcome(verdict: config_log.Verdict) -> outcomes.Outcome:
    document = {
        "change_id": verdict.change_id,
        "outcome": verdict.outcome.value,
        "version": verdict.version,
    }
    match verdict.outcome:
        case config_log.Outcome.ACCEPTED:
            line = f"accepted as version {verdict.version}"
            return outcomes.Outcome(outcomes.ExitCode.OK, document, (line,))
        case config_log.Outcome.SUPERSEDED:
            code = outcomes.ExitCode.SUPERSEDED
            reason = f"is superseded by {verdict.by}"
            remedy = "run `diff`, take their change in, and publish again"
            kind = errors.Kind.SUPERSEDED
        case config_log.Outcome.FORMAT:
            code = outcomes.ExitCode.PROBLEMS
            reason = verdict.reason
            remedy = "upgrade all instances first"
            kind = errors.Kind.FORMAT
        case _:
            code = outcomes.ExitCode.PROBLEMS
            reason = f"is refused: {verdict.reason}"
            remedy = "run `check` with the version that the instances run"
            kind = errors.Kind.REFUSED
    problem = errors.Problem(verdict.change_id, "", reason, remedy, kind)
    document["by"] = verdict.by
    return outcomes.Outcome(code, document, (), (problem,))


def _await_rollout(
    version: int,
    fleet: fleet_lib.Fleet,
    document: dict,
    report_progress: ReportProgress,
) -> outcomes.Outcome:
    """Waits until the version is in force on every instance."""
    started_s = time.monotonic()
    reported: set[str] = set()
    while True:
        statuses = fleet.statuses()
        behind = []
        for instance, status in sorted(statuses.items()):
            if status is not None and status.entry_version >= version:
                if instance not in reported:
                    reported.add(instance)
                    waited_s = time.monotonic() - started_s
                    report_progress(
                        f"in force at {instance} after {waited_s:.1f} s"
                    )
                continue
            behind.append(_describe_lag(instance, status))
        if not behind:
            document["seconds"] = round(time.monotonic() - started_s, 3)
            line = f"version {version} is in force at {len(reported)} instances"
            return outcomes.Outcome(outcomes.ExitCode.OK, document, (line,))
        if time.monotonic() - started_s > ROLLOUT_TIMEOUT_S:
            document["behind"] = behind
            lines = tuple(f"behind: {text}" for text in behind)
            return outcomes.Outcome(outcomes.ExitCode.PARTIAL, document, lines)
        time.sleep(ROLLOUT_POLL_S)


def _describe_lag(instance: str, status: Any) -> str:
    if status is None:
        return f"{instance} does not answer"
    if not status.entry_connected:
        return f"{instance}: its entry is away from its steward"
    text = f"{instance} is at version {status.entry_version}"
    if not status.log_reachable:
        text += ", it can't reach the log"
    return text
