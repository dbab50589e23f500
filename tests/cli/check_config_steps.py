"""Steps of the command check-config, run as a real process."""

import json
import subprocess
import sys
from pathlib import Path
from tempfile import TemporaryDirectory

from behave import then, when
from behave.runner import Context

from tests.queries.config_check_steps import SAMPLE, make_sample
from tests.support.operators import run_cli
from tests.support.processes import ROOT


@when("check-config runs with {place} set to {value} and {options}")
def step_run(context: Context, place: str, value: str, options: str) -> None:
    with TemporaryDirectory() as folder:
        for name, cfg in (("new", make_sample(place, value)), ("old", SAMPLE)):
            Path(folder, name).write_text(json.dumps(cfg))
        args = options.replace("OLD", f"{folder}/old").split()
        context.completed = run_cli("check-config", f"{folder}/new", *args)
    if "--json" in args:
        json.loads(context.completed.stdout)


@then("check-config ends with status {status:d} and shows {text}")
def step_ends(context: Context, status: int, text: str) -> None:
    done = context.completed
    assert done.returncode == status, done
    assert text in (done.stderr if status == 2 else done.stdout), done
    assert "Traceback" not in done.stderr, done


@then("the command line does not import {module}")
def step_lazy(context: Context, module: str) -> None:
    code = f"import sys, geraniumwell.cli.main; assert {module!r} not in sys.modules"
    subprocess.run([sys.executable, "-c", code], cwd=ROOT, timeout=60, check=True)
