"""Finds the commands, reads the command line and runs one of them."""

import argparse
import importlib
import pkgutil
import sys

from damaskdyke import __version__
from damaskdyke.core.management.base import BaseCommand, CommandError, ExitCode
from damaskdyke.management import commands


def find_commands() -> dict[str, BaseCommand]:
    """Return every command by its name, which is the name of its module."""
    found = {}
    for module in pkgutil.iter_modules(commands.__path__):
        loaded = importlib.import_module(f"{commands.__name__}.{module.name}")
        found[module.name.replace("_", "-")] = loaded.Command()
    return found


def make_parser(found: dict[str, BaseCommand]) -> argparse.ArgumentParser:
    """Return the parser for all commands."""
    parser = argparse.ArgumentParser(
        prog="damaskdyke", description="Proxy fleet for upstreams with gray failures."
    )
    add_version(parser)
    choices = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    for name, command in sorted(found.items()):
        chosen = choices.add_parser(name, help=command.help, description=command.help)
        add_version(chosen)
        command.add_arguments(chosen)
    return parser


def add_version(parser: argparse.ArgumentParser) -> None:
    """Declare ``--version``."""
    text = f"damaskdyke {__version__}"
    parser.add_argument("--version", action="version", version=text)


def run(arguments: list[str]) -> int:
    """Run the command that the arguments name and return the exit code."""
    found = find_commands()
    options = make_parser(found).parse_args(arguments)
    try:
        return int(found[options.command].handle(options))
    except CommandError as error:
        print(f"damaskdyke: {error}", file=sys.stderr)
        return int(error.code)
    except BrokenPipeError:
        return int(ExitCode.FAILED)


def main() -> None:
    """Run the command line of this process."""
    sys.exit(run(sys.argv[1:]))
