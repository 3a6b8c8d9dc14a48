"""Mutation tests: checks that tests fail once a safety mechanism is removed."""

import shutil
import subprocess
import sys
import tempfile
import tomllib
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
MUTANTS_FILE = ROOT / "tests" / "mutants.toml"
MAX_PARALLEL_RUNS = 3
# For the tests of one mutant.
TIME_LIMIT_SECONDS = 300


@dataclass(frozen=True)
class Mutant:
    """Source change that removes one mechanism, and the tests that must detect it.

    In ``file`` the text ``old`` is replaced by ``new``.
    """

    name: str
    file: str
    old: str
    new: str
    tests: list[str]


def read_mutants() -> list[Mutant]:
    """Return all mutants of tests/mutants.toml."""
    data = tomllib.loads(MUTANTS_FILE.read_text())
    return [Mutant(name=name, **values) for name, values in data.items()]


def copy_tree(target: Path) -> None:
    """Copy all files that git does not ignore to a directory."""
    command = ["git", "ls-files", "-co", "--exclude-standard"]
    listed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    for name in listed.stdout.splitlines():
        source = ROOT / name
        if source.is_file():
            (target / name).parent.mkdir(parents=True, exist_ok=True)
            shutil.copy(source, target / name)


def apply_mutant(mutant: Mutant, tree: Path) -> None:
    """Apply a mutant to a copy of the source tree.

    Raises
    ------
    ValueError
        If the text to replace does not occur exactly once in the file.
    """
    path = tree / mutant.file
    text = path.read_text()
    if text.count(mutant.old) != 1:
        raise ValueError(f"text to replace occurs {text.count(mutant.old)} times")
    path.write_text(text.replace(mutant.old, mutant.new))


def run_mutant(mutant: Mutant) -> str:
    """Run the tests on a mutant in a temporary copy of the source tree.

    Return the last line of their output, or why they did not run.
    """
    with tempfile.TemporaryDirectory(prefix="mutant-") as directory:
        tree = Path(directory)
        copy_tree(tree)
        try:
            apply_mutant(mutant, tree)
        except ValueError as error:
            return f"not applied: {error}"
        command = [sys.executable, "-m", "tools.run_tests", *mutant.tests]
        try:
            completed = subprocess.run(
                command,
                cwd=tree,
                capture_output=True,
                text=True,
                timeout=TIME_LIMIT_SECONDS,
            )
        except subprocess.TimeoutExpired:
            return "not run: over the time limit"
    lines = completed.stdout.strip().splitlines()
    return lines[-1] if lines else "not run: no output"


def is_caught(summary: str) -> bool:
    """Return whether a summary line reports at least one failed test."""
    words = summary.replace(",", "").split()
    return "failed" in words and words[words.index("failed") - 1] != "0"


def main(arguments: list[str]) -> int:
    """Run the named mutants, by default all, and return the exit status."""
    mutants = read_mutants()
    chosen = [item for item in mutants if not arguments or item.name in arguments]
    missed = 0
    with ThreadPoolExecutor(MAX_PARALLEL_RUNS) as pool:
        results = pool.map(run_mutant, chosen)
        for mutant, summary in zip(chosen, results, strict=True):
            verdict = "caught" if is_caught(summary) else "MISSED"
            missed += verdict == "MISSED"
            print(f"{verdict}: {mutant.name}: {summary}", flush=True)
    print(f"{len(chosen) - missed} mutants caught, {missed} missed")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
