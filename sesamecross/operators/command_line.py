"""The operators' command line: parses arguments and prints the outcome."""

import argparse
from collections.abc import Mapping
from collections.abc import Sequence
import getpass
import json
import os
import pathlib
import sys
import time
from typing import TextIO

from returns.result import Failure

from sesamecross.core import errors
from sesamecross.core import records
from sesamecross.operators import configuration
from sesamecross.operators import fleet as fleet_lib
from sesamecross.operators import log_state
from sesamecross.operators import losses
from sesamecross.operators import outcomes
from sesamecross.operators import status_text
from sesamecross.operators import timeline_formats
from sesamecross.ops import timeline
from sesamecross.runtime import signals
from sesamecross.utils import digest

LOG_URL_VARIABLE = "SESAMECROSS_LOG"
SHARED_KEY_VARIABLE = "SESAMECROSS_SHARED_KEY"
WATCH_INTERVAL_S = 1.0
CLEAR_SCREEN = "\x1b[H\x1b[2J"


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser of the whole command line."""
    parser = argparse.ArgumentParser(
        prog="sesamecross",
        description="Checks, publishes and watches a sesamecross deployment.",
        epilog="Exit codes: 0 done, 1 problems, 2 usage, 3 superseded,"
        " 4 not known yet, 5 out of reach, 6 only in part.",
    )
    common = argparse.ArgumentParser(add_help=False)
    common.add_argument(
        "--json", action="store_true", help="print one JSON document"
    )
    online = argparse.ArgumentParser(add_help=False)
    online.add_argument(
        "--log", help=f"the platform's log; else ${LOG_URL_VARIABLE}"
    )
    online.add_argument(
        "--steward",
        action="append",
        default=[],
        help="address of a steward to ask beside those on the log",
    )
    online.add_argument(
        "--shared-key-file",
        help=f"file with the key of the streams; else ${SHARED_KEY_VARIABLE}",
    )
    commands = parser.add_subparsers(dest="command", required=True)
    _add_configuration_commands(commands, common, online)
    _add_monitoring_commands(commands, common, online)
    return parser


def _add_configuration_commands(commands, common, online) -> None:
    check = commands.add_parser(
        "check", parents=[common], help="report every error of a folder"
    )
    check.add_argument("folder", type=pathlib.Path)
    diff = commands.add_parser(
        "diff",
        parents=[common, online],
        help="show what publishing a folder would change",
    )
    diff.add_argument("folder", type=pathlib.Path)
    publish = commands.add_parser(
        "publish", parents=[common, online], help="publish a folder"
    )
    publish.add_argument("folder", type=pathlib.Path)
    publish.add_argument("--base", type=int, help="version it was made from")
    publish.add_argument("--author", default=getpass.getuser())
    publish.add_argument("--note", default="", help="why, for others")
    publish.add_argument(
        "--change-id", help="of an earlier try whose outcome is not known"
    )
    publish.add_argument(
        "--wait", action="store_true", help="until it is in force everywhere"
    )
    explain = commands.add_parser(
        "explain",
        parents=[common],
        help="show which file set a key and what it overrode",
    )
    explain.add_argument("key", help="dotted, such as models.NAME.replicas")
    explain.add_argument("--folder", type=pathlib.Path, required=True)
    rollback = commands.add_parser(
        "rollback",
        parents=[common, online],
        help="publish an older version's content as a new version",
    )
    rollback.add_argument("version", type=int)
    rollback.add_argument("--author", default=getpass.getuser())
    rollback.add_argument("--wait", action="store_true")
    key_digest = commands.add_parser(
        "key-digest",
        parents=[common],
        help="read a bearer key from standard input, print its digest",
    )
    key_digest.set_defaults(folder=None)


def _add_monitoring_commands(commands, common, online) -> None:
    status = commands.add_parser(
        "status", parents=[common, online], help="show the deployment"
    )
    status.add_argument(
        "--watch", action="store_true", help="refresh until interrupted"
    )
    timeline_command = commands.add_parser(
        "timeline", parents=[common, online], help="show events in order"
    )
    timeline_command.add_argument(
        "--call", default="", help="only one call's story"
    )
    timeline_command.add_argument("--model", default="")
    timeline_command.add_argument("--upstream", default="")
    timeline_command.add_argument("--zone", default="")
    timeline_command.add_argument("--kind", default="")
    timeline_command.add_argument(
        "--last-s", type=float, default=0.0, help="only the last seconds"
    )
    timeline_command.add_argument("--limit", type=int, default=2000)
    timeline_command.add_argument(
        "--format", choices=("text", "jsonl", "trace", "html"), default="text"
    )
    timeline_command.add_argument(
        "--output", type=pathlib.Path, help="file to write"
    )
    losses_command = commands.add_parser(
        "losses",
        parents=[common],
        help="say from gateways' logs why requests were lost or held",
    )
    losses_command.add_argument("logs", nargs="+", type=pathlib.Path)
    drain = commands.add_parser(
        "drain", parents=[common, online], help="drain an upstream"
    )
    drain.add_argument("upstream")
    drain.add_argument("--end", action="store_true", help="end the drain")
    drain.add_argument("--author", default=getpass.getuser())
    claims = commands.add_parser(
        "claims", parents=[common, online], help="give an operator's word"
    )
    claims.add_argument("word", choices=("clear-doubt", "release"))
    claims.add_argument("name", help="the zone in doubt, or the caller")
    claims.add_argument("--author", default=getpass.getuser())


class CommandLine:
    """One invocation of the command."""

    def __init__(
        self,
        environment: Mapping[str, str],
        stdin: TextIO,
        stdout: TextIO,
        stderr: TextIO,
    ):
        self._environment = environment
        self._stdin = stdin
        self._stdout = stdout
        self._stderr = stderr
        self._interrupted = outcomes.InterruptOutcome(
            outcomes.failed(outcomes.ExitCode.PROBLEMS, [_NOTHING_CHANGED])
        )
        self._as_json = False
        # An interruption is raised only while `run` can handle it.
        self._is_running = False
        self._is_interrupted = False

    def run(self, arguments: Sequence[str]) -> int:
        """Returns the exit code."""
        try:
            self._start_running()
            flags = build_parser().parse_args(arguments)
            self._as_json = flags.json
            outcome = self._outcome(flags)
            self._interrupted.outcome = outcome
            self._print(outcome)
            self._is_running = False
        except KeyboardInterrupt:
            # Prints what is known so far, instead of a generic error.
            self._print(self._interrupted.outcome)
        return self._interrupted.outcome.code

    def interrupt(self, _number: int, _frame: object) -> None:
        """Signal handler that interrupts `run` once; ignores later signals."""
        if self._is_interrupted:
            return
        self._is_interrupted = True
        if self._is_running:
            raise KeyboardInterrupt

    def _start_running(self) -> None:
        self._is_running = True
        if self._is_interrupted:
            # The signal arrived before `run` could handle it.
            raise KeyboardInterrupt

    def _outcome(self, flags: argparse.Namespace) -> outcomes.Outcome:
        try:
            return self._dispatch(flags)
        except errors.ProblemError as error:
            return outcomes.failed(
                outcomes.ExitCode.UNREACHABLE, [error.problem]
            )

    def _print(self, outcome: outcomes.Outcome) -> None:
        try:
            self._write(outcome)
            self._stdout.flush()
        except OSError:
            # The reader is gone, and there is nowhere else to report it. Only
            # the exit code remains.
            _redirect_to_null(self._stdout)
            _redirect_to_null(self._stderr)

    def _write(self, outcome: outcomes.Outcome) -> None:
        if self._as_json:
            document = dict(outcome.document)
            if outcome.problems:
                document["problems"] = [
                    outcomes.problem_document(p) for p in outcome.problems
                ]
            print(json.dumps(document, indent=2), file=self._stdout)
            return
        for problem in outcome.problems:
            print(problem, file=self._stderr)
        for line in outcome.lines:
            print(line, file=self._stdout)

    def _report_progress(self, line: str) -> None:
        print(line, file=self._stderr, flush=True)

    def _dispatch(self, flags: argparse.Namespace) -> outcomes.Outcome:
        match flags.command:
            case "check":
                return configuration.check(flags.folder)
            case "explain":
                return configuration.explain(flags.folder, flags.key)
            case "diff":
                return configuration.diff(flags.folder, self._log_url(flags))
            case "publish":
                return configuration.publish(
                    flags.folder,
                    self._log_url(flags),
                    flags.author,
                    flags.note,
                    flags.base,
                    flags.change_id,
                    self._fleet(flags) if flags.wait else None,
                    self._report_progress,
                    self._interrupted,
                )
            case "rollback":
                return configuration.rollback(
                    flags.version,
                    self._log_url(flags),
                    flags.author,
                    self._fleet(flags) if flags.wait else None,
                    self._report_progress,
                    self._interrupted,
                )
            case "key-digest":
                return self._key_digest()
            case "status":
                return self._status(flags)
            case "timeline":
                return self._timeline(flags)
            case "losses":
                return losses.explain(flags.logs)
            case "drain":
                return self._drain(flags)
            case "claims":
                return self._claims(flags)
        raise AssertionError(flags.command)

    # -- endpoints -------------------------------------------------------

    def _log_url(self, flags: argparse.Namespace) -> str:
        url = flags.log or self._environment.get(LOG_URL_VARIABLE)
        if not url:
            raise errors.ProblemError(
                errors.Problem(
                    "command line",
                    "--log",
                    "the platform's log is not named",
                    f"give --log URL or set {LOG_URL_VARIABLE}",
                    errors.Kind.MISSING_KEY,
                )
            )
        return url

    def _fleet(self, flags: argparse.Namespace) -> fleet_lib.Fleet:
        key = self._environment.get(SHARED_KEY_VARIABLE, "")
        if flags.shared_key_file:
            path = pathlib.Path(flags.shared_key_file)
            key = path.read_text(encoding="utf-8").strip()
        if not key:
            raise errors.ProblemError(
                errors.Problem(
                    "command line",
                    "--shared-key-file",
                    "the key of the system's streams is not given",
                    f"give --shared-key-file or set {SHARED_KEY_VARIABLE}",
                    errors.Kind.MISSING_KEY,
                )
            )
        return fleet_lib.Fleet.from_log(
            self._log_url(flags), flags.steward, key
        )

    # -- commands --------------------------------------------------------

    def _key_digest(self) -> outcomes.Outcome:
        text = digest.of_bearer_key(self._stdin.readline().strip())
        return outcomes.Outcome(
            outcomes.ExitCode.OK, {"key_digest": text}, (text,)
        )

    def _status(self, flags: argparse.Namespace) -> outcomes.Outcome:
        fleet = self._fleet(flags)
        if flags.watch:
            # An interruption is the normal end of a watch.
            self._interrupted.outcome = outcomes.Outcome(
                outcomes.ExitCode.OK, {}, ()
            )
        while flags.watch:
            text = status_text.lines(status_text.document(fleet.statuses()))
            print(CLEAR_SCREEN + "\n".join(text), file=self._stdout, flush=True)
            time.sleep(WATCH_INTERVAL_S)
        document = status_text.document(fleet.statuses())
        states = {
            instance["state"] for instance in document["instances"].values()
        }
        code = (
            outcomes.ExitCode.OK
            if states <= {"ok"}
            else outcomes.ExitCode.PARTIAL
        )
        if not document["instances"]:
            code = outcomes.ExitCode.UNREACHABLE
        return outcomes.Outcome(
            code, document, tuple(status_text.lines(document))
        )

    def _timeline(self, flags: argparse.Namespace) -> outcomes.Outcome:
        events, missing = self._fleet(flags).events(flags.limit, flags.call)
        since_ms = 0
        if flags.last_s:
            newest = max((event.wall_ms for event in events), default=0)
            since_ms = int(newest - flags.last_s * 1000)
        event_filter = timeline.Filter(
            flags.call,
            flags.model,
            flags.upstream,
            flags.zone,
            flags.kind,
            since_ms,
        )
        merged = timeline.merge([events], event_filter)
        lines = _timeline_lines(flags.format, merged, missing)
        document = {
            "events": [
                json.loads(line)
                for line in timeline_formats.as_json_lines(merged)
            ],
            "missing": missing,
        }
        if flags.output:
            flags.output.write_text("\n".join(lines) + "\n", encoding="utf-8")
            lines = [f"{len(merged)} events are in {flags.output}"]
        code = outcomes.ExitCode.PARTIAL if missing else outcomes.ExitCode.OK
        problems = tuple(
            errors.Problem(
                name,
                "",
                "does not answer, its events are missing",
                "see its logs; run again when it is back",
                errors.Kind.UNREACHABLE,
            )
            for name in missing
        )
        return outcomes.Outcome(code, document, tuple(lines), problems)

    def _append(
        self, log: log_state.LogState, record: object, line: str
    ) -> outcomes.Outcome:
        self._interrupted.outcome = outcomes.failed(
            outcomes.ExitCode.NOT_KNOWN_YET, [_OUTCOME_UNKNOWN]
        )
        appended = log.append(record)
        if isinstance(appended, Failure):
            return outcomes.failed(
                outcomes.ExitCode.NOT_KNOWN_YET, [appended.failure()]
            )
        return outcomes.Outcome(
            outcomes.ExitCode.OK, {"offset": appended.unwrap()}, (line,)
        )

    def _claims(self, flags: argparse.Namespace) -> outcomes.Outcome:
        log = log_state.LogState.read(self._log_url(flags))
        state = log.state.groups
        if flags.word == "clear-doubt":
            group = state.zones.get(flags.name)
            if group is None or not group.doubt:
                return _nothing_to_do(f"{flags.name} is not in doubt")
            return self._append(
                log,
                records.DoubtCleared(flags.name, flags.author),
                f"{flags.name} decides claims again",
            )
        home = state.homes.get(flags.name)
        declared = log.state.config.declarations.callers.get(flags.name)
        if home is None or declared is None or declared.home_zone == home:
            return _nothing_to_do(f"{flags.name} is at its declared home")
        return self._append(
            log,
            records.HomeReleased(flags.name, home, 0, forced=True),
            f"{flags.name} is decided in {declared.home_zone} from now on",
        )

    def _drain(self, flags: argparse.Namespace) -> outcomes.Outcome:
        log = log_state.LogState.read(self._log_url(flags))
        if flags.upstream not in log.state.config.declarations.upstreams:
            problem = errors.Problem(
                "command line",
                "upstream",
                f"{flags.upstream} is not declared",
                "see `status` for the upstreams",
                errors.Kind.DANGLING_NAME,
            )
            return outcomes.failed(outcomes.ExitCode.PROBLEMS, [problem])
        marked = records.DrainMarked(
            flags.upstream, not flags.end, flags.author
        )
        verb = "ends its drain" if flags.end else "drains"
        return self._append(
            log, marked, f"{flags.upstream} {verb}; open calls finish"
        )


# The changes of these commands are idempotent.
_OUTCOME_UNKNOWN = errors.Problem(
    "command line",
    "",
    "interrupted, the change may have been taken in",
    "see `status`, or run the command again",
    errors.Kind.NOT_KNOWN_YET,
)


_NOTHING_CHANGED = errors.Problem(
    "command line",
    "",
    "interrupted, nothing was changed",
    "run it again",
    errors.Kind.REFUSED,
)


def _nothing_to_do(reason: str) -> outcomes.Outcome:
    problem = errors.Problem(
        "command line",
        "name",
        reason,
        "see `status` and the declarations; nothing was changed",
        errors.Kind.REFUSED,
    )
    return outcomes.failed(outcomes.ExitCode.PROBLEMS, [problem])


def _timeline_lines(
    form: str, events: list[timeline.TimelineEvent], missing: list[str]
) -> list[str]:
    match form:
        case "jsonl":
            return timeline_formats.as_json_lines(events)
        case "trace":
            return [timeline_formats.as_trace(events)]
        case "html":
            return [timeline_formats.as_page(events, missing)]
    return timeline_formats.as_text(events)


def _redirect_to_null(stream: TextIO) -> None:
    """Redirects a stream to the null device, so that its flush can't fail."""
    null_fd = os.open(os.devnull, os.O_WRONLY)
    os.dup2(null_fd, stream.fileno())
    os.close(null_fd)


def main(environment: Mapping[str, str]) -> int:
    """Runs the command with the process's standard streams."""
    command = CommandLine(environment, sys.stdin, sys.stdout, sys.stderr)
    signals.install_cli_handler(command.interrupt)
    return command.run(sys.argv[1:])
