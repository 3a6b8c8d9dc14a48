"""Error messages of the settings checks."""

from dataclasses import dataclass


@dataclass(frozen=True)
class CheckMessage:
    """One error in a settings branch or file.

    Parameters
    ----------
    id : str
        Stable id of the error, such as ``tree.E011``.
    branch : str
        Name of the branch or file with the error.
    key : str
        Dotted path of the key with the error; ``*`` for the whole text.
    problem : str
        Description of the error.
    hint : str
        Advice how to correct it, as a sentence.
    """

    id: str
    branch: str
    key: str
    problem: str
    hint: str

    def __str__(self) -> str:
        return f"{self.branch}: {self.key}: ({self.id}) {self.problem}. {self.hint}"
