"""Published branches with their versions."""

import hashlib
from dataclasses import dataclass

from damaskdyke.core.ids import BranchName
from damaskdyke.peers.gen.peer.ttypes import BranchDocument, BranchVersion


@dataclass(frozen=True, slots=True)
class Version:
    """Version and SHA-256 digest of one branch."""

    name: BranchName
    number: int
    digest: bytes

    def to_message(self) -> BranchVersion:
        """Return the version as a peer message."""
        return BranchVersion(name=self.name, version=self.number, digest=self.digest)


@dataclass(frozen=True, slots=True)
class Document:
    """A branch as the platform published it."""

    version: Version
    text: bytes

    def is_intact(self) -> bool:
        """Return whether the text matches the digest."""
        return hashlib.sha256(self.text).digest() == self.version.digest

    def to_message(self) -> BranchDocument:
        """Return the document as a peer message."""
        return BranchDocument(version=self.version.to_message(), text=self.text)


def parse_version(message: BranchVersion) -> Version:
    """Return the version in a peer message."""
    return Version(BranchName(message.name), message.version, message.digest)


def parse_document(message: BranchDocument) -> Document:
    """Return the document in a peer message."""
    return Document(parse_version(message.version), message.text)
