"""Message that a settings check reports."""

from dataclasses import dataclass


@dataclass(frozen=True)
class CheckMessage:
    """One settings error.

    Parameters
    ----------
    id : str
        Stable id of the error, such as ``tree.E011``.
    branch : str
        Branch or file that holds the error.
    key : str
        Dotted path of the key.
    problem : str
        What is wrong.
    hint : str
        What to do about it.
    """

    id: str
    branch: str
    key: str
    problem: str
    hint: str

    def __str__(self) -> str:
        return f"{self.branch}: {self.key}: ({self.id}) {self.problem}. {self.hint}"
