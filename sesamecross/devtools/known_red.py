"""A pytest plugin that passes over the tests listed as known to fail.

Why: a test of a real fault may land before its mend. CI stays green then, but
only for the listed tests, and it prints each of them, so that none is
forgotten. Without `--known-red` nothing is passed over.
"""

import dataclasses
import pathlib

import pytest

_FIELDS = ("test", "command", "seen", "issue")


class InvalidListError(ValueError):
    """The list can't be read; the message says what to correct."""


@dataclasses.dataclass(frozen=True, slots=True)
class KnownFailure:
    """One test that is known to fail.

    Attributes:
      test: Its id, as pytest prints it.
      command: What runs it, with the seed where there is one.
      seen: What was seen.
      issue: The open issue.
    """

    test: str
    command: str
    seen: str
    issue: str


def parse(text: str) -> tuple[KnownFailure, ...]:
    """Returns the entries of a list.

    Entries are separated by empty lines. Each has the fields `test`,
    `command`, `seen` and `issue`, a line each: `name: text`. Lines that begin
    with `#` are comments.

    Raises:
      BadList: A field is missing, unknown or given twice.
    """
    entries = []
    lines = [
        line for line in text.splitlines() if not line.lstrip().startswith("#")
    ]
    for block in "\n".join(lines).split("\n\n"):
        if block.strip():
            entries.append(_entry(block.strip().splitlines()))
    return tuple(entries)


def _entry(lines: list[str]) -> KnownFailure:
    fields: dict[str, str] = {}
    for line in lines:
        name, _, value = line.partition(":")
        name, value = name.strip(), value.strip()
        if name not in _FIELDS or name in fields or not value:
            raise InvalidListError(
                f"{line!r}: write each of {_FIELDS} once, with text"
            )
        fields[name] = value
    missing = [name for name in _FIELDS if name not in fields]
    if missing:
        raise InvalidListError(f"{lines[0]!r}: add the fields {missing}")
    return KnownFailure(**fields)


def pytest_addoption(parser: pytest.Parser) -> None:
    """Adds the option that names the list."""
    parser.addoption(
        "--known-red",
        type=pathlib.Path,
        help="pass over the tests that this file lists as known to fail",
    )


def _listed(config: pytest.Config) -> tuple[KnownFailure, ...]:
    path = config.getoption("--known-red")
    if path is None or not path.exists():
        return ()
    return parse(path.read_text(encoding="utf-8"))


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Takes the listed tests out, and no others.

    Raises:
      pytest.UsageError: A listed test does not exist; its entry would pass
        over nothing and look as if it did.
    """
    try:
        listed = {entry.test for entry in _listed(config)}
    except InvalidListError as error:
        raise pytest.UsageError(str(error)) from error
    unknown = listed - {item.nodeid for item in items}
    if unknown:
        raise pytest.UsageError(
            f"correct or remove entries of unknown tests: {sorted(unknown)}"
        )
    passed_over = [item for item in items if item.nodeid in listed]
    items[:] = [item for item in items if item.nodeid not in listed]
    config.hook.pytest_deselected(items=passed_over)


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    """Prints what was passed over."""
    for entry in _listed(config):
        terminalreporter.write_line(
            f"KNOWN RED, passed over: {entry.test} (issue {entry.issue}):"
            f" {entry.seen} Run: {entry.command}"
        )
