"""A pytest plugin that deselects the tests listed as known to fail.

A test of a real fault may land before its fix. CI stays green then, but only
for the listed tests, and it prints each of them, so that none is forgotten.
Without `--known-red` no test is deselected.
"""

import dataclasses
import pathlib

import pytest

_FIELDS = ("test", "command", "seen", "issue")


class InvalidListError(ValueError):
    """The list is malformed; the message says what to correct."""


@dataclasses.dataclass(frozen=True, slots=True)
class KnownFailure:
    """A test that is known to fail.

    Attributes:
      test: Its id, as pytest prints it.
      command: The command that runs it, with the seed if it has one.
      seen: The failure that was observed.
      issue: The number of the open issue.
    """

    test: str
    command: str
    seen: str
    issue: str


def parse(text: str) -> tuple[KnownFailure, ...]:
    """Parses a list of known failures.

    Entries are separated by empty lines. Each has the fields `test`,
    `command`, `seen` and `issue`, one per line: `name: text`. Lines that
    begin with `#` are comments.

    Raises:
      InvalidListError: A field is missing, unknown or given twice.
    """
    entries = []
    lines = [
        line for line in text.splitlines() if not line.lstrip().startswith("#")
    ]
    for block in "\n".join(lines).split("\n\n"):
        if block.strip():
            entries.append(_parse_entry(block.strip().splitlines()))
    return tuple(entries)


def _parse_entry(lines: list[str]) -> KnownFailure:
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
        help="deselect the tests that this file lists as known to fail",
    )


def _read_list(config: pytest.Config) -> tuple[KnownFailure, ...]:
    path = config.getoption("--known-red")
    if path is None or not path.exists():
        return ()
    return parse(path.read_text(encoding="utf-8"))


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Deselects the listed tests, and no others.

    Raises:
      pytest.UsageError: A listed test does not exist, so that its entry would
        deselect nothing without anyone noticing.
    """
    try:
        listed = {entry.test for entry in _read_list(config)}
    except InvalidListError as error:
        raise pytest.UsageError(str(error)) from error
    unknown = listed - {item.nodeid for item in items}
    if unknown:
        raise pytest.UsageError(
            f"correct or remove entries of unknown tests: {sorted(unknown)}"
        )
    deselected = [item for item in items if item.nodeid in listed]
    items[:] = [item for item in items if item.nodeid not in listed]
    config.hook.pytest_deselected(items=deselected)


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    """Prints the deselected tests."""
    for entry in _read_list(config):
        terminalreporter.write_line(
            f"KNOWN RED, passed over: {entry.test} (issue {entry.issue}):"
            f" {entry.seen} Run: {entry.command}"
        )
