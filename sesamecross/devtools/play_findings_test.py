"""Tests of the list of what recorded plays missed."""

import msgspec
import pytest

from sesamecross.devtools import play_findings

PLAY = {"name": "scale-1", "seed": 7, "rules": {}, "short": [], "fault": None}
ENTRY = {"id": "ab", "at": ["2026-12-04T19:42:00Z", ""], "cmd": "hunt"}


@pytest.mark.parametrize(
    ("play", "error", "expected"),
    [
        ({}, None, []),
        (
            {"short": ["4 of 23 models were never served"]},
            None,
            [
                "scale-1 (seed 7): short of the gate: "
                "4 of 23 models were never served"
            ],
        ),
        (
            {"rules": {"LOST": 3}, "fault": "no request was served"},
            None,
            [
                "scale-1 (seed 7): rule LOST broken",
                "scale-1 (seed 7): fault: no request was served",
            ],
        ),
        ({}, "the run did not finish", ["the run did not finish"]),
    ],
)
def test_what_a_play_missed_is_listed(tmp_path, capsys, play, error, expected):
    """Guards against a gate that fails in the records, and nobody reads it."""
    entry = ENTRY | {"days": [PLAY | play], "error": error}
    path = tmp_path / "entry.json"
    path.write_bytes(msgspec.json.encode(entry))
    code = play_findings.main([str(path)])
    lines = capsys.readouterr().out.splitlines()
    assert code == (1 if expected else 0)
    assert [line.strip() for line in lines[1:]] == expected
    assert play_findings.main([str(path), "--since", "2026-12-05"]) == 0
