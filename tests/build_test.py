"""Tests of the build for the users' platform, without its downloads."""

import importlib.util
import os
import pathlib
import shutil
import subprocess
import sys
import tomllib

import sesamecross

_ROOT = pathlib.Path(sesamecross.__file__).parent.parent
# The last step of the build; the one before installs the dependencies.
_STEP_SEPARATOR = " && "


def test_the_build_compiles_every_module_that_a_gateway_loads(tmp_path):
    """Guards against cold starts that compile the program each time.

    A process can't write there, so what the build leaves out is compiled again
    at every start.
    """
    deploy = tomllib.loads((_ROOT / "deploy/system.toml").read_text())
    program = deploy["roles"]["gateway"]["run"].split()[-1]
    shutil.copytree(
        _ROOT / "sesamecross",
        tmp_path / "sesamecross",
        ignore=shutil.ignore_patterns("__pycache__", "*_test.py"),
    )
    (tmp_path / "python3").symlink_to(sys.executable)
    clean = {
        name: value
        for name, value in os.environ.items()
        if not name.startswith("PYTHON")
    }
    subprocess.run(
        deploy["build"].rpartition(_STEP_SEPARATOR)[2],
        shell=True,
        check=True,
        cwd=tmp_path,
        env=clean | {"PATH": f"{tmp_path}:{os.environ['PATH']}"},
    )
    loaded = subprocess.run(
        [
            sys.executable,
            "-B",
            "-c",
            f"import sys, {program}, sesamecross.platform.program\n"
            "for one in list(sys.modules.values()):\n"
            "    if one.__name__.startswith('sesamecross'):\n"
            "        print(one.__file__)",
        ],
        check=True,
        cwd=tmp_path,
        env=clean,
        capture_output=True,
        text=True,
    ).stdout.split()
    assert len(loaded) > 50
    missing = [
        path
        for path in loaded
        if not path.startswith(str(tmp_path))
        or not os.path.exists(importlib.util.cache_from_source(path))
    ]
    assert missing == []
