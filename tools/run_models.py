"""Checks the Promela models with spin.

Each model must hold, and spin must find an error in every variant of it in which a
``BROKEN_`` macro removes one rule, or in which a ``REACHED_`` macro asserts that a step
which must be possible never happens.
"""

import re
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

SPEC = Path(__file__).resolve().parent.parent / "spec"
# Limits of each spin run: steps, and megabytes.
MAX_SEARCH_DEPTH = 1_000_000
MEMORY_LIMIT_MB = 2_500
MAX_PARALLEL_RUNS = 4
VARIANT = re.compile(r"(?:BROKEN|REACHED)_\w+")
STATES = re.compile(r"(\d+(?:\.\d+e[+-]?\d+)?) states, stored")
ERRORS = re.compile(r"errors: (\d+)")


@dataclass(frozen=True)
class Result:
    """Result of spin for one variant of a model.

    Parameters
    ----------
    states : int
        Distinct states that were stored.
    errors : int
        Violated assertions; one if the report has no count.
    is_complete : bool
        Whether the search reached neither the depth nor the memory limit.
    """

    states: int
    errors: int
    is_complete: bool


def list_variants(model: Path) -> list[str]:
    """Return the names of the variants of a model that spin must refute, sorted."""
    return sorted(set(VARIANT.findall(model.read_text())))


def check_variant(model: Path, variant: str | None) -> Result:
    """Run spin on a model, or on one of its broken variants.

    Raises
    ------
    subprocess.CalledProcessError
        If spin or the C compiler rejects the model.
    """
    options = [f"-D{variant}"] if variant else []
    with tempfile.TemporaryDirectory() as directory:
        run = {"cwd": directory, "check": True, "capture_output": True, "text": True}
        subprocess.run(["spin", *options, "-a", str(model)], **run)
        limits = [f"-DMEMLIM={MEMORY_LIMIT_MB}", "-DCOLLAPSE", "-DSAFETY"]
        subprocess.run(["cc", "-O2", "-w", *limits, "-o", "pan", "pan.c"], **run)
        completed = subprocess.run(
            ["./pan", "-E", f"-m{MAX_SEARCH_DEPTH}"],
            cwd=directory,
            capture_output=True,
            text=True,
        )
    return read_result(completed.stdout)


def read_result(text: str) -> Result:
    """Parse the report of a spin run."""
    states = STATES.search(text)
    errors = ERRORS.search(text)
    incomplete = "max search depth too small" in text or "out of memory" in text
    return Result(
        states=int(float(states.group(1))) if states else 0,
        errors=int(errors.group(1)) if errors else 1,
        is_complete=not incomplete,
    )


def install_spin() -> None:
    """Install spin from Debian's packages if it is missing."""
    if shutil.which("spin"):
        return
    subprocess.run(["apt-get", "update", "-qq"], check=True)
    subprocess.run(["apt-get", "install", "-y", "-qq", "spin"], check=True)


def check_model(model: Path, pool: ThreadPoolExecutor) -> list[str]:
    """Check a model and its broken variants, and return the failure messages."""
    failures = []
    variants = list_variants(model)
    results = list(
        pool.map(lambda variant: check_variant(model, variant), [None, *variants])
    )
    unmodified, broken = results[0], results[1:]
    print(
        f"{model.name}: {unmodified.states} states, {unmodified.errors} errors",
        flush=True,
    )
    if unmodified.errors or not unmodified.is_complete:
        failures.append(f"{model.name}: errors or an incomplete search")
    for variant, result in zip(variants, broken, strict=True):
        verdict = "refuted" if result.errors else "NOT REFUTED"
        print(f"  {variant}: {verdict} after {result.states} states", flush=True)
        if not result.errors:
            failures.append(f"{model.name}: {variant} was not refuted")
    return failures


def main(arguments: list[str]) -> int:
    """Check the named models, by default all, and return the exit status."""
    install_spin()
    models = [SPEC / name for name in arguments] or sorted(SPEC.glob("*.pml"))
    failures = []
    with ThreadPoolExecutor(MAX_PARALLEL_RUNS) as pool:
        for model in models:
            failures += check_model(model, pool)
    for failure in failures:
        print(f"failed: {failure}")
    print(f"{len(models)} models, {len(failures)} failures")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
