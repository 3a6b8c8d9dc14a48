"""Builds the file that is shipped: an executable zip archive of pure Python code."""

import shutil
import subprocess
import sys
import tempfile
import zipapp
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TARGET = ROOT / "build" / "damaskdyke"
INTERPRETER = "/usr/bin/env python3"
ENTRY_POINT = "damaskdyke.core.management.runner:main"
COMPILED_PATTERNS = ("*.so", "*.pyd", "*.pyc")


def install_libraries(directory: Path) -> None:
    """Install the libraries pinned in requirements.txt into a directory."""
    subprocess.run(
        [
            *(sys.executable, "-m", "pip", "install", "--quiet", "--quiet"),
            *("--disable-pip-version-check", "--no-compile"),
            *("--target", str(directory), "-r", str(ROOT / "requirements.txt")),
        ],
        check=True,
    )


def remove_compiled(directory: Path) -> None:
    """Remove compiled modules, which cannot be imported from a zip file."""
    for pattern in COMPILED_PATTERNS:
        for path in directory.rglob(pattern):
            path.unlink()
    shutil.rmtree(directory / "bin", ignore_errors=True)


def main() -> None:
    """Build the archive and print its size."""
    TARGET.parent.mkdir(exist_ok=True)
    with tempfile.TemporaryDirectory() as name:
        directory = Path(name)
        install_libraries(directory)
        remove_compiled(directory)
        ignored = shutil.ignore_patterns("__pycache__")
        package = directory / "damaskdyke"
        shutil.copytree(ROOT / "damaskdyke", package, ignore=ignored)
        zipapp.create_archive(
            directory, TARGET, INTERPRETER, main=ENTRY_POINT, compressed=True
        )
    print(f"{TARGET.relative_to(ROOT)}: {TARGET.stat().st_size} bytes")


if __name__ == "__main__":
    main()
