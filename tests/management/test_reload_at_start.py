import subprocess
import sys
import unittest

# Sends the signal when the module of the command is imported.
SCRIPT = """
import importlib.abc, os, runpy, signal, sys

class Finder(importlib.abc.MetaPathFinder):
    def find_spec(self, name, path, target=None):
        if name == "damaskdyke.management.commands.proxy":
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, Finder())
sys.argv = ["damaskdyke", "proxy", "--help"]
runpy.run_module("damaskdyke", run_name="__main__")
"""


class ReloadAtStartTest(unittest.TestCase):
    """A proxy that was told to reload while it loaded its modules ended."""

    def test_reload_does_not_end_a_proxy_that_starts(self):
        result = subprocess.run(
            [sys.executable, "-c", SCRIPT], stdout=subprocess.DEVNULL, check=False
        )
        self.assertEqual(result.returncode, 0)
