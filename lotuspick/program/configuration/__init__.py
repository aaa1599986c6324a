"""Reads and validates all configuration, and applies defaults; error messages name the invalid key.

``PROXY_CONFIG`` names the JSON file of the broker itself (:mod:`.broker`). The operators' files enable
subsystems that are off by default: ``deploy/hints.toml`` the HTTP front, ``deploy/tenants.toml`` the
directory of tenants, ``deploy/cells.toml`` cells, ``deploy/seats.toml`` entitlement and ``deploy/peers.toml``
membership.
"""

from lotuspick.program.configuration.broker import flatten, load, read
from lotuspick.program.configuration.entitlement import DEFAULT_SEATS_PATH, read_seats
from lotuspick.program.configuration.membership import DEFAULT_PEERS_PATH, read_peers
from lotuspick.program.configuration.model import (
    Config,
    ConfigError,
    HintsConfig,
    PeersConfig,
    SeatsConfig,
    TenantsConfig,
)
from lotuspick.program.configuration.subsystems import (
    DEFAULT_CELLS_PATH,
    DEFAULT_HINTS_PATH,
    DEFAULT_TENANTS_PATH,
    read_cells,
    read_hints,
    read_tenants,
)

__all__ = [
    "DEFAULT_CELLS_PATH",
    "DEFAULT_HINTS_PATH",
    "DEFAULT_PEERS_PATH",
    "DEFAULT_SEATS_PATH",
    "DEFAULT_TENANTS_PATH",
    "Config",
    "ConfigError",
    "HintsConfig",
    "PeersConfig",
    "SeatsConfig",
    "TenantsConfig",
    "flatten",
    "load",
    "read",
    "read_cells",
    "read_hints",
    "read_peers",
    "read_seats",
    "read_tenants",
]
