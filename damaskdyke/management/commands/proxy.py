"""Run a proxy."""

import signal
import sys
import threading
from argparse import ArgumentParser, Namespace
from pathlib import Path

from damaskdyke.conf.daemon import DaemonSettings, load_daemon_settings
from damaskdyke.conf.loading import SettingsError
from damaskdyke.core.clock import Clock
from damaskdyke.core.kernel import Kernel
from damaskdyke.core.management.base import BaseCommand, CommandError, ExitCode
from damaskdyke.utils.logs import configure_logging

# Requests hold little on the stack; many threads must fit a small VM.
STACK_BYTES = 512 * 1024
# Threads that wait for sockets must not queue for long behind one that computes.
SWITCH_SECONDS = 0.0005


class Command(BaseCommand):
    """Run a proxy until it is told to stop."""

    help = "Run a proxy until SIGTERM, which stops it gracefully."

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Declare the settings file."""
        parser.add_argument("--settings", type=Path, required=True, metavar="FILE")

    def handle(self, options: Namespace) -> ExitCode:
        """Run the proxy."""
        settings = self.load(options.settings)
        configure_logging(settings.log.format, settings.log.level)
        threading.stack_size(STACK_BYTES)
        sys.setswitchinterval(SWITCH_SECONDS)
        stop = threading.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: stop.set())
        self.serve(settings, stop)
        return ExitCode.OK

    def load(self, path: Path) -> DaemonSettings:
        """Return the settings, or end with every error in them."""
        try:
            return load_daemon_settings(path)
        except SettingsError as error:
            text = "\n".join(str(message) for message in error.messages)
            raise CommandError(text, ExitCode.USAGE) from None
        except OSError as error:
            raise CommandError(f"{path}: {error.strerror}", ExitCode.USAGE) from None

    def serve(self, settings: DaemonSettings, stop: threading.Event) -> None:
        """Serve until told to stop, then drain."""
        from damaskdyke.core import plugins  # noqa: F401
        from damaskdyke.front.lifecycle import Lifecycle

        kernel = Kernel(settings, Clock())
        kernel.add_registered()
        with kernel:
            stop.wait()
            kernel.get(Lifecycle).drain()
