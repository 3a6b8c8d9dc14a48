import os
import subprocess
import tempfile
import unittest
from pathlib import Path

from damaskdyke.testbed.fleet import Fleet, FleetPlan, HttpClient
from damaskdyke.testbed.processes import make_address, wait_for
from tools import build_binary


class BinaryTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        build_binary.main()

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)

    def start_binary(self, fleet):
        address, peer_address = make_address("127.0.0.1"), make_address("127.0.0.1")
        settings = Path(fleet.platform.process.log).parent / "binary.toml"
        seeds = [proxy.peer_address for proxy in fleet.proxies]
        settings.write_text(
            f'address = "{address}"\npeer_address = "{peer_address}"\nzone = "suva"\n'
            f'platform = "{fleet.platform.address}"\nseeds = {seeds}\n'
        )
        command = [str(build_binary.TARGET), "proxy", "--settings", str(settings)]
        environment = dict(os.environ, PYTHONDONTWRITEBYTECODE="1")
        process = subprocess.Popen(
            command,
            cwd=self.directory,
            env=environment,
            stderr=subprocess.DEVNULL,
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process, HttpClient(address)

    def test_binary_serves_a_lookup_without_child_processes_or_files(self):
        with Fleet(FleetPlan(proxies=1, upstreams=1)) as fleet:
            process, client = self.start_binary(fleet)
            wait_for(lambda: self.is_ready(client), "the built proxy")
            answer = client.call("GET", "/crew-desk/pumps/7")
            self.assertEqual(answer.status, 200)
            self.assertEqual(self.list_children(process.pid), [])
            process.terminate()
            self.assertEqual(process.wait(30), 0)
        self.assertEqual(list(self.directory.iterdir()), [])

    def is_ready(self, client):
        try:
            return client.call("GET", "/-/health").status == 200
        except Exception:
            return False

    def list_children(self, pid):
        found = []
        for task in Path(f"/proc/{pid}/task").iterdir():
            found += (task / "children").read_text().split()
        return found

    def test_version_is_printed(self):
        done = subprocess.run(
            [str(build_binary.TARGET), "--version"], capture_output=True, text=True
        )
        self.assertIn("damaskdyke 0.", done.stdout)
