"""Marshmallow schemas that validate TOML tables and build typed settings."""

from typing import Any

from marshmallow import Schema, fields, post_load, validate

from damaskdyke.conf.tree import (
    Branch,
    Repeatability,
    Route,
    Rule,
    Service,
    Upstream,
    Vm,
    VmRole,
    VmState,
    WorkClass,
)

MAX_DEADLINE_MS = 120_000
MAX_BODY_BYTES = 32 * 1024 * 1024
DEFAULT_MAX_BODY_BYTES = 1024 * 1024
NAME_PATTERN = r"^[a-z0-9][a-z0-9._-]{0,62}$"
ADDRESS_PATTERN = r"^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$"
PATH_PATTERN = r"^/[\x21-\x7e]*$"
HTTP_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")


def make_name_field(**options: Any) -> fields.String:
    """Return a field for a lower-case name of at most 63 characters."""
    check = validate.Regexp(
        NAME_PATTERN, error="not a lower-case name of at most 63 characters"
    )
    return fields.String(validate=check, **options)


def make_address_field(**options: Any) -> fields.String:
    """Return a field for an IPv4 address and port, ``IP:port``."""
    check = validate.Regexp(ADDRESS_PATTERN, error="not an IPv4 address and port")
    return fields.String(validate=check, **options)


def make_integer_field(low: int, high: int, **options: Any) -> fields.Integer:
    """Return a field for an integer from ``low`` to ``high``, both included."""
    return fields.Integer(
        strict=True, validate=validate.Range(min=low, max=high), **options
    )


def make_path_field(**options: Any) -> fields.String:
    """Return a field for an absolute URL path or a prefix of one."""
    check = validate.Regexp(PATH_PATTERN, error="not an absolute path")
    return fields.String(validate=check, **options)


class UpstreamSchema(Schema):
    """Schema of :class:`~damaskdyke.conf.tree.Upstream`."""

    id = make_name_field(required=True)
    address = make_address_field(required=True)
    zone = make_name_field(required=True)

    @post_load
    def build(self, data: dict, **_: Any) -> Upstream:
        """Return the typed upstream."""
        return Upstream(**data)


class RuleSchema(Schema):
    """Schema of :class:`~damaskdyke.conf.tree.Rule`."""

    id = make_name_field(required=True)
    methods = fields.List(
        fields.String(validate=validate.OneOf(HTTP_METHODS)),
        required=True,
        validate=validate.Length(min=1),
    )
    path = make_path_field(required=True)
    repeatability = fields.Enum(Repeatability, by_value=True, required=True)
    work = fields.Enum(WorkClass, by_value=True, load_default=WorkClass.SHORT)
    deadline_ms = make_integer_field(1, MAX_DEADLINE_MS, required=True)
    attempts = make_integer_field(1, 5, load_default=1)
    hedge = fields.Boolean(load_default=False)
    max_body_bytes = make_integer_field(
        0, MAX_BODY_BYTES, load_default=DEFAULT_MAX_BODY_BYTES
    )

    @post_load
    def build(self, data: dict, **_: Any) -> Rule:
        """Return the typed rule."""
        data["methods"] = frozenset(data["methods"])
        return Rule(**data)


class ServiceSchema(Schema):
    """Schema of :class:`~damaskdyke.conf.tree.Service`, without its name."""

    floor = make_integer_field(0, 100_000, required=True)
    slots = make_integer_field(1, 10_000, load_default=4)
    long_slots = make_integer_field(0, 10_000, load_default=0)
    connections = make_integer_field(1, 100_000, load_default=330)
    retry_percent = make_integer_field(0, 100, load_default=10)
    refusal_statuses = fields.List(make_integer_field(400, 599), load_default=list)
    probe_path = make_path_field(load_default="")
    slow_ms = make_integer_field(0, MAX_DEADLINE_MS, load_default=0)
    upstreams = fields.List(fields.Nested(UpstreamSchema), required=True)
    rules = fields.List(fields.Nested(RuleSchema), required=True)


class RouteSchema(Schema):
    """Schema of :class:`~damaskdyke.conf.tree.Route`."""

    prefix = make_path_field(required=True)
    service = make_name_field(required=True)

    @post_load
    def build(self, data: dict, **_: Any) -> Route:
        """Return the typed route."""
        return Route(**data)


class VmSchema(Schema):
    """Schema of :class:`~damaskdyke.conf.tree.Vm`."""

    address = make_address_field(required=True)
    role = fields.Enum(VmRole, by_value=True, required=True)
    state = fields.Enum(VmState, by_value=True, required=True)
    zone = make_name_field(required=True)

    @post_load
    def build(self, data: dict, **_: Any) -> Vm:
        """Return the typed row of the VM list."""
        return Vm(**data)


class BranchSchema(Schema):
    """Schema of :class:`~damaskdyke.conf.tree.Branch`, without its name."""

    services = fields.Dict(
        keys=make_name_field(), values=fields.Nested(ServiceSchema), load_default=dict
    )
    routes = fields.List(fields.Nested(RouteSchema), load_default=list)
    workspaces = fields.List(make_name_field(), load_default=list)
    workspace_in_flight = make_integer_field(0, 100_000, load_default=0)
    vms = fields.List(fields.Nested(VmSchema), load_default=list)


def build_branch(name: str, data: dict) -> Branch:
    """Return the typed branch for data loaded by :class:`BranchSchema`."""
    services = []
    for service_name, values in data["services"].items():
        services.append(build_service(name, service_name, values))
    return Branch(
        name=name,
        services=tuple(services),
        routes=tuple(data["routes"]),
        workspaces=tuple(data["workspaces"]),
        workspace_in_flight=data["workspace_in_flight"],
        vms=tuple(data["vms"]),
    )


def build_service(branch: str, name: str, values: dict) -> Service:
    """Return the typed service for data loaded by :class:`ServiceSchema`."""
    options = dict(values)
    options["upstreams"] = tuple(options["upstreams"])
    options["rules"] = tuple(options["rules"])
    options["refusal_statuses"] = frozenset(options["refusal_statuses"])
    return Service(name=name, branch=branch, **options)
