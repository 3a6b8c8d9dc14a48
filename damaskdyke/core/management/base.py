"""Base of all commands."""

from abc import ABC, abstractmethod
from argparse import ArgumentParser, Namespace
from enum import IntEnum


class ExitCode(IntEnum):
    """Exit codes of the command line."""

    OK = 0
    FAILED = 1
    USAGE = 2
    UNREACHABLE = 3
    UNKNOWN = 4
    NOT_RUN = 5


class CommandError(Exception):
    """A command cannot go on.

    Parameters
    ----------
    message : str
        What happened, for a person.
    code : ExitCode
        Exit code of the process.
    """

    def __init__(self, message: str, code: ExitCode = ExitCode.FAILED):
        super().__init__(message)
        self.code = code


class BaseCommand(ABC):
    """One command, named after its module."""

    # One sentence for the list of commands.
    help = ""

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Declare the command's arguments."""

    @abstractmethod
    def handle(self, options: Namespace) -> ExitCode:
        """Carry the command out.

        Raises
        ------
        CommandError
            If it cannot go on.
        """
