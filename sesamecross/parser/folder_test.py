"""Tests of folder validation: all errors at once, each with a remedy."""

import pathlib

import pytest

from sesamecross.core import errors
from sesamecross.parser import folder

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"

VALID_FILES = {
    "10.toml": """
[regions.west]
[zones.west-1]
region = "west"
[upstreams.e1]
kind = "engine"
zone = "west-1"
url = "http://127.0.0.1:9000"
memory_mib = 1000
[promises.report]
[models.m1]
memory_mib = 400
promise = "report"
"""
}


def write_and_check(tmp_path, files):
    for name, text in files.items():
        (tmp_path / name).write_text(text)
    return folder.check(tmp_path)


def test_a_valid_folder_has_declarations(tmp_path):
    checked = write_and_check(tmp_path, VALID_FILES)
    assert checked.problems == ()
    assert checked.declarations.models["m1"].memory_mib == 400


@pytest.mark.parametrize("name", ["namib", "sli-bhan"])
def test_examples_are_valid(name):
    checked = folder.check(EXAMPLES / name)
    assert checked.problems == ()


EXAMPLE_SIZES = [("namib", 6, 3, 20, 65), ("sli-bhan", 5, 3, 13, 55)]


@pytest.mark.parametrize(
    ("name", "engines", "services", "models", "adapters"), EXAMPLE_SIZES
)
def test_examples_have_the_expected_sizes(
    name, engines, services, models, adapters
):
    declared = folder.check(EXAMPLES / name).declarations
    assert len(declared.engines()) == engines
    assert len(declared.upstreams) - engines == services
    assert len(declared.models) == models
    assert len(declared.adapters) == adapters
    assert len(declared.regions) == len(declared.zones) == 3


def test_later_file_overrides_and_origin_is_kept(tmp_path):
    later = {"20.toml": "[models.m1]\nmemory_mib = 500\n"}
    checked = write_and_check(tmp_path, VALID_FILES | later)
    assert checked.declarations.models["m1"].memory_mib == 500
    origins = checked.merged.origins[("models", "m1", "memory_mib")]
    assert [(o.file, o.value) for o in origins] == [
        ("10.toml", 400),
        ("20.toml", 500),
    ]


# (file's text, key, part of the reason, part of the remedy, kind)
MISTAKES = [
    ("[models.m1]\nmemry_mib = 1", "models.m1.memry_mib", "not a known",
     "did you mean memory_mib", errors.Kind.UNKNOWN_KEY),
    ("[models.m1]\nmemory = 1", "models.m1.memory", "not a known",
     "did you mean memory_mib", errors.Kind.UNKNOWN_KEY),
    ('[models.m1]\nmemory_mib = "14 GiB"', "models.m1.memory_mib",
     "wrong value", "number of MiB", errors.Kind.BAD_VALUE),
    ("[models.m1]\nmemory_mib = -4", "models.m1.memory_mib", ">= 1",
     "whole number", errors.Kind.BAD_VALUE),
    ('[models.m1]\npromise = "nope"', "models.m1.promise", 'names "nope"',
     "declare [promises.nope]", errors.Kind.DANGLING_NAME),
    ('[adapters.a]\nmodel = "m1"', "adapters.a.memory_mib", "missing",
     "add memory_mib", errors.Kind.MISSING_KEY),
    ("[modles.m1]\nx = 1", "modles", "not a known table", "models",
     errors.Kind.UNKNOWN_KEY),
    ("[models.m1]\nmemory_mib = 4000", "models.m1.memory_mib",
     "largest engine", "larger engine", errors.Kind.OVERCOMMITTED),
    ('[models.m2]\nmemory_mib = 900\npromise = "report"', "models",
     "must stay need 1300 MiB", "must_stay = false",
     errors.Kind.OVERCOMMITTED),
    ('[callers.c]\nkey_digest = "plain"\nhome_zone = "west-1"',
     "callers.c.key_digest", "wrong value", "text",
     errors.Kind.BAD_VALUE),
    ('[upstreams.e1]\nurl = "http://name:80"', "upstreams.e1.url",
     "wrong value", "text", errors.Kind.BAD_VALUE),
    ("[models.m1", "", "not TOML", "mend the syntax", errors.Kind.SYNTAX),
    ("models = 3", "models", "not a table", "[models.NAME]",
     errors.Kind.BAD_VALUE),
]  # fmt: skip


@pytest.mark.parametrize(("text", "key", "reason", "remedy", "kind"), MISTAKES)
def test_each_mistake_is_reported(tmp_path, text, key, reason, remedy, kind):
    checked = write_and_check(tmp_path, VALID_FILES | {"20.toml": text})
    assert checked.declarations is None
    found = [p for p in checked.problems if p.kind is kind and p.key == key]
    assert found, [str(p) for p in checked.problems]
    assert reason in found[0].reason
    assert remedy in found[0].remedy
    if key not in ("models", ""):
        assert found[0].file == "20.toml"


def test_all_errors_of_all_files_are_reported_at_once(tmp_path):
    # C7: an operator's folder has mistakes in two files. Reporting only the
    # first would cost one attempt for each; all are reported and nothing is
    # changed.
    files = VALID_FILES | {
        "20.toml": "[models.m1]\nmemry_mib = 1\n[zones.z2]\nregion = 'no'\n",
        "30.toml": "[store]\nloads_per_second = 'fast'\n",
    }
    checked = write_and_check(tmp_path, files)
    keys = {(p.file, p.key) for p in checked.problems}
    assert keys >= {
        ("20.toml", "models.m1.memry_mib"),
        ("20.toml", "zones.z2.region"),
        ("30.toml", "store.loads_per_second"),
    }


@pytest.mark.parametrize("files", [{}, {"x.txt": ""}])
def test_a_folder_without_toml_is_a_problem(tmp_path, files):
    checked = write_and_check(tmp_path, files)
    assert checked.problems[0].kind is errors.Kind.UNREADABLE


def test_a_service_that_names_an_undeclared_upstream_is_a_problem(tmp_path):
    """Guards against a check that ends with KeyError instead of a remedy."""
    service = '[services.ledger]\nupstreams = ["e1", "missing"]\n'
    checked = write_and_check(tmp_path, VALID_FILES | {"20.toml": service})
    kinds = [problem.kind for problem in checked.problems]
    assert errors.Kind.DANGLING_NAME in kinds
    # The engine that the service names is reported beside it.
    assert errors.Kind.BAD_VALUE in kinds
