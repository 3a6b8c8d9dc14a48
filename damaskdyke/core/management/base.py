"""Base class, error and exit codes of all commands."""

from abc import ABC, abstractmethod
from argparse import ArgumentParser, Namespace
from enum import IntEnum


class ExitCode(IntEnum):
    """Exit codes of the command line.

    ``USAGE``: wrong arguments or settings. ``UNREACHABLE``: a proxy does not answer.
    ``UNKNOWN``: whether an order ran is unknown. ``NOT_RUN``: an order was not run.
    ``FAILED``: any other failure.
    """

    OK = 0
    FAILED = 1
    USAGE = 2
    UNREACHABLE = 3
    UNKNOWN = 4
    NOT_RUN = 5


class CommandError(Exception):
    """Failure that ends a command with a message and an exit code.

    Parameters
    ----------
    message : str
        Text for standard error.
    code : IntEnum
        Exit code of the process.
    """

    def __init__(self, message: str, code: IntEnum = ExitCode.FAILED):
        super().__init__(message)
        self.code = code


class BaseCommand(ABC):
    """Base class of commands; a command has the name of its module."""

    # One sentence for the list of commands and for the command's own help.
    help = ""
    # Exit code for wrong arguments.
    usage_code: IntEnum = ExitCode.USAGE

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the command's arguments to its parser."""

    @abstractmethod
    def handle(self, options: Namespace) -> IntEnum:
        """Run the command and return the exit code.

        It is an `ExitCode` unless the command documents codes of its own.

        Raises
        ------
        CommandError
            If the command fails; the runner prints the message.
        """
