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
    """Format and level of the log."""

    format: str = "key-value"
    level: str = "info"


@dataclass(frozen=True)
class OrderSettings:
    """Limits of the ledger; durations in milliseconds, sizes in bytes."""

    ticket_lifetime_ms: int = 600_000
    max_entries: int = 50_000
    max_reply_bytes: int = 262_144
    max_total_reply_bytes: int = 16_777_216


@dataclass(frozen=True)
class TimingSettings:
    """Intervals and time limits in milliseconds."""

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
    """Names of the registered policies in use."""

    balancing: str = "least-loaded"
    ejection: str = "corroborated"
    admission: str = "bounded"
    hedging: str = "budgeted"


@dataclass(frozen=True)
class DaemonSettings:
    """Everything that a proxy process is told when it starts.

    Parameters
    ----------
    address : Address
        Where callers and the balancer connect.
    peer_address : Address
        Where peers connect.
    zone : ZoneName
        Availability zone of the VM.
    platform : Address
        The platform's configuration service.
    seeds : tuple of Address
        Peer addresses to start from.
    peer_listen : Address, optional
        Where to listen for peers, if that is not ``peer_address``.
    threads : int
        Threads that answer callers.
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
    """Return the settings in a daemon's file.

    Raises
    ------
    SettingsError
        With every error of the file.
    OSError
        If the file cannot be read.
    """
    data = parse_toml(path.name, path.read_bytes())
    try:
        return DaemonSchema().load(data)
    except ValidationError as error:
        raise SettingsError(list(flatten_errors(path.name, error.messages))) from None
