import subprocess
import sys
import unittest

# Sends the signal with the first import of the package, and with every further one.
START_SCRIPT = """
import importlib.abc, os, runpy, signal, sys

class Finder(importlib.abc.MetaPathFinder):
    def find_spec(self, name, path, target=None):
        if "damaskdyke" in sys.modules and not name.startswith("encodings"):
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, Finder())
sys.argv = ["damaskdyke", "proxy", "--help"]
runpy.run_module("damaskdyke", run_name="__main__")
"""
# Sends the signal when the interpreter removes the modules, after it has put back the
# system's actions for signals. The settings file is missing.
END_SCRIPT = """
import os, runpy, signal, sys

class Sender:
    def __del__(self, kill=os.kill, pid=os.getpid(), number=signal.SIGHUP):
        kill(pid, number)

signal.sender = Sender()
sys.argv = ["damaskdyke", "proxy", "--settings", os.devnull + "/missing"]
runpy.run_module("damaskdyke", run_name="__main__")
"""
COMMAND_SCRIPT = """
import os, signal, sys

sys.argv = ["damaskdyke", "soak"]
import damaskdyke
print(signal.getsignal(signal.SIGHUP) == signal.SIG_DFL)
"""


def run_script(script):
    # The process that runs the tests may ignore the signal, and children inherit that.
    reset = "import signal\nsignal.signal(signal.SIGHUP, signal.SIG_DFL)\n"
    command = [sys.executable, "-c", reset + script]
    return subprocess.run(command, capture_output=True, check=False, text=True)


class ReloadAtStartTest(unittest.TestCase):
    """A proxy ended by a reload while it loaded its modules, or while it ended."""

    def test_reload_does_not_end_a_proxy_that_starts(self):
        result = run_script(START_SCRIPT)
        self.assertEqual(result.returncode, 0, result.stderr)

    def test_reload_does_not_end_a_proxy_whose_interpreter_ends(self):
        result = run_script(END_SCRIPT)
        self.assertEqual(result.returncode, 2, result.stderr)
        self.assertIn("missing", result.stderr)

    def test_other_commands_end_with_their_terminal(self):
        self.assertEqual(run_script(COMMAND_SCRIPT).stdout, "True\n")
