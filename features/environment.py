"""Hooks of behave: each scenario gets a folder, and its cluster is ended."""

import pathlib
import shutil
import tempfile


def before_scenario(context, scenario):
    context.folder = pathlib.Path(tempfile.mkdtemp(prefix="granitetrestle-test-"))
    context.cluster = None


def after_scenario(context, scenario):
    if context.cluster is not None:
        context.cluster.stop()
    if scenario.status.name == "passed":
        shutil.rmtree(context.folder, ignore_errors=True)
    else:
        # A failure seen once is a finding: its logs stay for whoever traces it.
        print(f"kept {context.folder}")
