"""Runs the tests; the last line of output counts passed and failed tests.

Failures of the tests listed in KNOWN-RED.txt are printed but not counted.
"""

import sys

from nose2.main import PluggableTestProgram

from tools.verdict import Verdict, read_known_red

PLUGIN = "tools.verdict"


def main(arguments: list[str]) -> int:
    """Run the named tests, by default all, and return the exit status.

    It is 0 if tests passed and none failed but those in KNOWN-RED.txt, otherwise 1.
    """
    names = arguments or ["-s", ".", "tests"]
    argv = ["nose2", "-v", "--plugin", PLUGIN, *names]
    PluggableTestProgram(module=None, argv=argv, exit=False)
    verdict = Verdict.current
    known = read_known_red()
    known_failures = [name for name in verdict.failed if name.split("\n")[0] in known]
    failed = [name for name in verdict.failed if name not in known_failures]
    for name in known_failures:
        print(f"known red: {name}: {known[name.split(chr(10))[0]]}")
    for name in verdict.passed:
        if name in known:
            print(f"listed as known red, but passed: {name}")
    for name in failed:
        print(f"failed: {name}")
    sys.stderr.flush()
    counts = f"{len(verdict.passed)} passed, {len(failed)} failed"
    if verdict.skipped:
        counts += f", {len(verdict.skipped)} skipped"
    print(counts, flush=True)
    return 1 if failed or not verdict.passed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
