"""Distinct types for the identifiers that cross module borders."""

from typing import NewType

ServiceName = NewType("ServiceName", str)
UpstreamId = NewType("UpstreamId", str)
ZoneName = NewType("ZoneName", str)
BranchName = NewType("BranchName", str)
RuleId = NewType("RuleId", str)
RequestId = NewType("RequestId", str)
WorkspaceName = NewType("WorkspaceName", str)

# ``host:port`` of a TCP listener.
Address = NewType("Address", str)

# Random number that a proxy process draws when it starts.
BootId = NewType("BootId", int)

# Ticket as the caller sees it.
TicketText = NewType("TicketText", str)
