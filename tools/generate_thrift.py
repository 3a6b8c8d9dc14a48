"""Generates the Thrift code from idl/peer.thrift; needs Debian's thrift-compiler."""

import shutil
import subprocess
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = Path("damaskdyke/peers/gen/peer")


def main() -> None:
    """Replace the committed generated code."""
    with tempfile.TemporaryDirectory() as directory:
        subprocess.run(
            ["thrift", "--gen", "py:slots", "-out", directory, "idl/peer.thrift"],
            cwd=ROOT,
            check=True,
        )
        for path in (Path(directory) / PACKAGE).glob("*.py"):
            shutil.copy(path, ROOT / PACKAGE / path.name)


if __name__ == "__main__":
    main()
