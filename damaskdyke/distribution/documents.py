"""Published branch documents with their versions, and their peer messages."""

import hashlib
from dataclasses import dataclass

from damaskdyke.core.ids import BranchName
from damaskdyke.peers.gen.peer.ttypes import BranchDocument, BranchVersion


@dataclass(frozen=True, slots=True)
class Version:
    """Version number of one branch and SHA-256 digest of its text."""

    name: BranchName
    number: int
    digest: bytes

    def to_message(self) -> BranchVersion:
        """Return the version as a peer message."""
        return BranchVersion(name=self.name, version=self.number, digest=self.digest)


@dataclass(frozen=True, slots=True)
class Document:
    """TOML text of a branch as the platform published it."""

    version: Version
    text: bytes

    def is_intact(self) -> bool:
        """Return whether the text matches the digest of its version."""
        return hashlib.sha256(self.text).digest() == self.version.digest

    def to_message(self) -> BranchDocument:
        """Return the document as a peer message."""
        return BranchDocument(version=self.version.to_message(), text=self.text)


def parse_version(message: BranchVersion) -> Version:
    """Convert a peer message to a version."""
    return Version(BranchName(message.name), message.version, message.digest)


def parse_document(message: BranchDocument) -> Document:
    """Convert a peer message to a document."""
    return Document(parse_version(message.version), message.text)
