"""Data classes of the validated configuration."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING

from lotuspick.core.settings import Settings
from lotuspick.errors import LotuspickError
from lotuspick.protocol import endpoint_events
from lotuspick.transport.directory import LdapConfig

if TYPE_CHECKING:
    from lotuspick.cells.model import Plan
    from lotuspick.entitlement.seat_session import EntitlementRules
    from lotuspick.membership.model import FailureDetectionRules
    from lotuspick.membership.quorum import QuorumRules


class ConfigError(LotuspickError):
    """The configuration is invalid; the text names the file and the key."""


@dataclass(frozen=True, slots=True)
class HintsConfig:
    """Configuration of the HTTP front with CMCD and CMSD, from ``deploy/hints.toml``."""

    enabled: bool = False
    host: str = "127.0.0.1"
    port: int = 0
    nodes: Mapping[str, str] = field(default_factory=dict)
    """Addresses of the media nodes that speak HTTP, by id; all other nodes speak the platform's protocol."""


@dataclass(frozen=True, slots=True)
class TenantsConfig:
    """Configuration of the directory of tenants, from ``deploy/tenants.toml``."""

    ldap: LdapConfig | None = None
    """None: the directory is disabled, and no tenant has a rate."""
    refresh_s: float = 60.0


@dataclass(frozen=True, slots=True)
class SeatsConfig:
    """Configuration of entitlement tokens for paid sessions, from ``deploy/seats.toml``."""

    audience: str
    keys: Path
    store: Path
    store_mib: int
    rules: EntitlementRules
    skew_s: int
    grace_s: int
    revoked: Path | None = None
    proofs: Path | None = None


@dataclass(frozen=True, slots=True)
class PeersConfig:
    """Configuration of the fleet of brokers, from ``deploy/peers.toml``."""

    listen: tuple[str, int]
    seeds: tuple[str, ...]
    store: Path
    detection_rules: FailureDetectionRules
    quorum_rules: QuorumRules
    control: tuple[str, int] | None = None
    """Address of the control port for operators' commands; None: it is disabled."""
    offers: tuple[str, ...] = ()
    address_overrides: Mapping[str, str] = field(default_factory=dict)
    """Addresses to dial in place of those that peers announce, by announced address."""
    retry_after_us: int = 1_000_000
    """``retry_after`` of paid sessions that are rejected because of the quorum state."""


@dataclass(frozen=True, slots=True)
class Config:
    """The complete configuration of one broker."""

    name: str
    listen: tuple[str, int]
    seed: int
    max_descriptors: int
    """Maximum number of open file descriptors of the process."""
    memory_mb: int
    coordinator_address: str
    index: int
    """Index of the last watch event in ``changes``."""
    changes: tuple[endpoint_events.Change, ...]
    """Watch events of the coordinator that are known at start-up."""
    settings: Settings
    period_us: int
    dial_timeout_us: int
    idle_timeout_us: int
    silence_timeout_us: int
    """Silence after which a connection with sessions is checked."""
    shutdown_grace_us: int
    """Time between SIGTERM and the earliest SIGKILL."""
    streams_per_connection: int
    hints: HintsConfig
    tenants: TenantsConfig
    cells: Plan | None = None
    """None: cells are disabled."""
    seats: SeatsConfig | None = None
    """None: entitlement is disabled, and no session needs a token."""
    peers: PeersConfig | None = None
    """None: membership is disabled."""
