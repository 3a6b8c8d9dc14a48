"""Settings of proxies that exchange gossip without a platform or callers."""

from damaskdyke.conf.vm import DEFAULT_BOUNDS, FleetBounds, StoreSettings, VmSettings


def make_settings(
    network: str,
    number: int,
    zone: str,
    gossip_port: int,
    relay_port: int = 0,
    store: str = "",
    bounds: FleetBounds = DEFAULT_BOUNDS,
) -> VmSettings:
    """Return the settings of a proxy of a network, whose first one is the seed."""
    ip = f"{network}.{number}"
    return VmSettings(
        name=ip,
        ip=ip,
        zone=zone,
        caller_address="",
        ready_address="",
        gossip_port=gossip_port,
        view_port=relay_port,
        seeds=(f"{network}.1",),
        store=StoreSettings(store),
        bounds=bounds,
    )
