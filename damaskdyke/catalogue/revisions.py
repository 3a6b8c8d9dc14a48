"""Revisions of the store that stay ordered when it is restored from an older copy.

A restored store gives out again the numbers that it has lost, so that a number alone
names two different states. A `StoreRevision` holds the era in which the store gave out
the number in the bits above it. So revisions are compared and sent like plain numbers,
those of the first era are equal to them, and proxies that know of no eras order them
correctly too.

An era has two parts: how often the store states to have been restored, and how often it
was found since to be behind what it had acknowledged.
"""

from typing import NewType

StoreEra = NewType("StoreEra", int)
StoreRevision = NewType("StoreRevision", int)

# With 17 bits of restores a revision fits the 63 bits of a positive i64.
NUMBER_BITS = 40
REWIND_BITS = 6
MAX_NUMBER = 2**NUMBER_BITS - 1
MAX_RESTORES = 2**17 - 1
MAX_ERA = (MAX_RESTORES + 1 << REWIND_BITS) - 1

FIRST_ERA = StoreEra(0)
# Revision of a state into which nothing was read.
NO_REVISION = StoreRevision(0)


def make_era(restores: int) -> StoreEra:
    """Return the era of a store that states how often it was restored."""
    return StoreEra(restores << REWIND_BITS)


def get_restores(era: StoreEra) -> int:
    """Return how often the store had been restored in an era, as it states."""
    return era >> REWIND_BITS


def find_rewound_era(era: StoreEra) -> StoreEra:
    """Return the era after a rewind, the same one if there were too many before."""
    rewound = StoreEra(era + 1)
    return rewound if get_restores(rewound) == get_restores(era) else era


def make_revision(era: StoreEra, number: int) -> StoreRevision:
    """Return the revision with a number that the store gave out in an era."""
    return StoreRevision(era << NUMBER_BITS | number)


def get_era(revision: StoreRevision) -> StoreEra:
    """Return the era in which the store gave out a revision."""
    return StoreEra(revision >> NUMBER_BITS)


def get_number(revision: StoreRevision) -> int:
    """Return the number by which the store knows a revision."""
    return revision & MAX_NUMBER


def describe_era(era: StoreEra) -> str:
    """Return an era for logs: ``2``, or ``2+1`` after a rewind that was not stated."""
    rewinds = era & (2**REWIND_BITS - 1)
    stated = str(get_restores(era))
    return f"{stated}+{rewinds}" if rewinds else stated


def describe_revision(revision: StoreRevision) -> dict[str, int | str]:
    """Return the fields of a log line or report that name a revision.

    Those of a store that was never restored have no era.
    """
    era = get_era(revision)
    fields = {"revision": get_number(revision)}
    return fields | {"era": describe_era(era)} if era else fields
