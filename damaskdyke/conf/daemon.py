"""Settings of one proxy process, read from its TOML file."""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from marshmallow import Schema, ValidationError, fields, post_load, validate

from damaskdyke.conf.loading import SettingsError, flatten_errors, parse_toml
from damaskdyke.conf.schemas import (
    make_address_field,
    make_integer_field,
    make_name_field,
)
from damaskdyke.core.ids import Address, ZoneName


@dataclass(frozen=True)
class LogSettings:
    """Line format and lowest level of the log."""

    format: str = "key-value"
    level: str = "info"


@dataclass(frozen=True)
class OrderSettings:
    """Limits of the order ledger.

    Parameters
    ----------
    ticket_lifetime_ms : int
        Time from the issue of a ticket to its expiry.
    max_entries : int
        Tickets that the ledger may hold at a time.
    max_reply_bytes : int
        Size above which the reply to an order is not kept.
    max_total_reply_bytes : int
        Total size of the replies that are kept.
    """

    ticket_lifetime_ms: int = 600_000
    max_entries: int = 50_000
    max_reply_bytes: int = 262_144
    max_total_reply_bytes: int = 16_777_216


@dataclass(frozen=True)
class TimingSettings:
    """Intervals and time limits in milliseconds.

    Parameters
    ----------
    gossip_ms : int
        Interval between exchanges with peers.
    peer_timeout_ms : int
        Time limit of a call to a peer.
    settings_lease_ms : int
        Time for which settings count as confirmed after a confirmation.
    watch_ms : int
        Longest wait for a new revision in one call to the platform.
    boot_grace_ms : int
        Time after the start before a proxy may boot because the whole fleet starts.
    drain_notice_ms : int
        Wait at the start of a drain for the load balancer to stop sending requests.
    drain_limit_ms : int
        Time limit of each wait for requests in flight during a drain.
    connect_timeout_ms : int
        Time limit for opening a connection to an upstream.
    """

    gossip_ms: int = 500
    peer_timeout_ms: int = 1_000
    settings_lease_ms: int = 4_000
    watch_ms: int = 10_000
    boot_grace_ms: int = 3_000
    drain_notice_ms: int = 1_000
    drain_limit_ms: int = 125_000
    connect_timeout_ms: int = 500


@dataclass(frozen=True)
class PolicySettings:
    """Name of the registered policy in use for each purpose."""

    balancing: str = "least-loaded"
    ejection: str = "corroborated"
    admission: str = "bounded"
    hedging: str = "budgeted"


@dataclass(frozen=True)
class DaemonSettings:
    """Settings of a proxy process that do not come from the published tree.

    Parameters
    ----------
    address : Address
        ``IP:port`` at which callers and the load balancer connect.
    peer_address : Address
        ``IP:port`` at which peers connect.
    zone : ZoneName
        Availability zone of the VM.
    platform : Address
        ``IP:port`` of the platform's configuration service.
    seeds : tuple of Address
        Peer addresses to contact first.
    peer_listen : Address, optional
        ``IP:port`` to listen on for peers, if it differs from ``peer_address``.
    threads : int
        Number of threads that answer callers.
    """

    address: Address
    peer_address: Address
    zone: ZoneName
    platform: Address
    seeds: tuple[Address, ...] = ()
    peer_listen: Address = Address("")
    threads: int = 64
    log: LogSettings = field(default_factory=LogSettings)
    orders: OrderSettings = field(default_factory=OrderSettings)
    timing: TimingSettings = field(default_factory=TimingSettings)
    policies: PolicySettings = field(default_factory=PolicySettings)


class LogSchema(Schema):
    """Schema of :class:`LogSettings`."""

    format = fields.String(validate=validate.OneOf(("key-value", "json")))
    level = fields.String(
        validate=validate.OneOf(("debug", "info", "warning", "error"))
    )

    @post_load
    def build(self, data: dict, **_: Any) -> LogSettings:
        """Return the typed settings."""
        return LogSettings(**data)


class OrderSchema(Schema):
    """Schema of :class:`OrderSettings`."""

    ticket_lifetime_ms = make_integer_field(1_000, 3_600_000)
    max_entries = make_integer_field(1, 1_000_000)
    max_reply_bytes = make_integer_field(0, 32 * 1024 * 1024)
    max_total_reply_bytes = make_integer_field(0, 24 * 1024 * 1024)

    @post_load
    def build(self, data: dict, **_: Any) -> OrderSettings:
        """Return the typed settings."""
        return OrderSettings(**data)


class TimingSchema(Schema):
    """Schema of :class:`TimingSettings`."""

    gossip_ms = make_integer_field(50, 10_000)
    peer_timeout_ms = make_integer_field(50, 30_000)
    settings_lease_ms = make_integer_field(200, 60_000)
    watch_ms = make_integer_field(100, 60_000)
    boot_grace_ms = make_integer_field(0, 60_000)
    drain_notice_ms = make_integer_field(0, 60_000)
    drain_limit_ms = make_integer_field(0, 600_000)
    connect_timeout_ms = make_integer_field(10, 30_000)

    @post_load
    def build(self, data: dict, **_: Any) -> TimingSettings:
        """Return the typed settings."""
        return TimingSettings(**data)


class PolicySchema(Schema):
    """Schema of :class:`PolicySettings`."""

    balancing = make_name_field()
    ejection = make_name_field()
    admission = make_name_field()
    hedging = make_name_field()

    @post_load
    def build(self, data: dict, **_: Any) -> PolicySettings:
        """Return the typed settings."""
        return PolicySettings(**data)


class DaemonSchema(Schema):
    """Schema of :class:`DaemonSettings`."""

    address = make_address_field(required=True)
    peer_address = make_address_field(required=True)
    zone = make_name_field(required=True)
    platform = make_address_field(required=True)
    seeds = fields.List(make_address_field())
    peer_listen = make_address_field()
    threads = make_integer_field(4, 1_024)
    log = fields.Nested(LogSchema)
    orders = fields.Nested(OrderSchema)
    timing = fields.Nested(TimingSchema)
    policies = fields.Nested(PolicySchema)

    @post_load
    def build(self, data: dict, **_: Any) -> DaemonSettings:
        """Return the typed settings."""
        data["seeds"] = tuple(data.get("seeds", ()))
        return DaemonSettings(**data)


def load_daemon_settings(path: Path) -> DaemonSettings:
    """Return the settings in a daemon's TOML file.

    Raises
    ------
    SettingsError
        If the file has errors; carries all of them.
    OSError
        If the file cannot be read.
    """
    data = parse_toml(path.name, path.read_bytes())
    try:
        return DaemonSchema().load(data)
    except ValidationError as error:
        raise SettingsError(list(flatten_errors(path.name, error.messages))) from None
