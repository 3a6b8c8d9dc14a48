"""Check settings files."""

from argparse import ArgumentParser, Namespace
from pathlib import Path

from damaskdyke.conf.daemon import load_daemon_settings
from damaskdyke.conf.loading import SettingsError, check_tree, parse_branch
from damaskdyke.conf.tree import Branch
from damaskdyke.core.checks import CheckMessage
from damaskdyke.core.management.base import BaseCommand, CommandError, ExitCode


class Command(BaseCommand):
    """Report every error of a settings tree at once."""

    help = "Check a directory of branches, one TOML file each, or a daemon's file."

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Declare the files."""
        parser.add_argument("tree", nargs="?", type=Path, metavar="DIRECTORY")
        parser.add_argument("--daemon", type=Path, metavar="FILE")

    def handle(self, options: Namespace) -> ExitCode:
        """Check what is named, and print each error with its id and a hint."""
        if options.tree is None and options.daemon is None:
            raise CommandError("name a DIRECTORY or --daemon FILE", ExitCode.USAGE)
        messages: list[CheckMessage] = []
        try:
            if options.tree is not None:
                messages += self.check_directory(options.tree)
            if options.daemon is not None:
                messages += self.check_daemon(options.daemon)
        except OSError as error:
            message = f"{error.filename}: {error.strerror}"
            raise CommandError(message, ExitCode.USAGE) from None
        for message in messages:
            print(message)
        print(f"{len(messages)} errors")
        return ExitCode.USAGE if messages else ExitCode.OK

    def check_directory(self, directory: Path) -> list[CheckMessage]:
        """Return the errors of every branch and of the tree as a whole."""
        if not directory.is_dir():
            raise CommandError(f"{directory} is not a directory", ExitCode.USAGE)
        messages: list[CheckMessage] = []
        branches: list[Branch] = []
        for path in sorted(directory.glob("*.toml")):
            try:
                branches.append(parse_branch(path.stem, path.read_bytes()))
            except SettingsError as error:
                messages += error.messages
        return messages + check_tree(tuple(branches))

    def check_daemon(self, path: Path) -> list[CheckMessage]:
        """Return the errors of a daemon's file."""
        try:
            load_daemon_settings(path)
        except SettingsError as error:
            return error.messages
        return []
