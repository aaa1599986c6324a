"""The one place where configuration is read, checked and given defaults.

A broker is told what it is by the JSON file that ``PROXY_CONFIG`` names. Files of the operators' own switch on
what is off else: ``deploy/hints.toml`` the second front, ``deploy/tenants.toml`` the directory of tenants,
``deploy/cells.toml`` the cells, ``deploy/seats.toml`` the seats, ``deploy/peers.toml`` the talk among brokers. Each
message names the key at fault.
"""

from __future__ import annotations

import json
import tomllib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

from lotuspick.core.settings import RetrySafety, Settings
from lotuspick.protocol import endpoint_events
from lotuspick.protocol.errors import ProtocolError
from lotuspick.protocol.site_settings import WireError, read_settings, whole
from lotuspick.transport.directory import LdapConfig

if TYPE_CHECKING:
    from lotuspick.cells.model import Plan
    from lotuspick.entitlement.seat_session import Rules
    from lotuspick.membership.model import Rules as Watch
    from lotuspick.membership.quorum import QuorumRules

DEFAULT_HINTS = Path("deploy/hints.toml")
DEFAULT_TENANTS = Path("deploy/tenants.toml")
DEFAULT_CELLS = Path("deploy/cells.toml")
DEFAULT_SEATS = Path("deploy/seats.toml")
DEFAULT_PEERS = Path("deploy/peers.toml")
DEFAULT_MEMORY_MB, DEFAULT_SOCKETS = 192, 1_024
LEAST_SOCKETS = 64
DEFAULT_PERIOD_US = 10_000
DEFAULT_DIAL_US = 250_000
DEFAULT_IDLE_US = 30_000_000
DEFAULT_STREAMS = 32
LONGEST_US = 3_000_000  # a deadline counts as no more for the time that a planned end leaves
AFTER_LAST_US = 700_000  # and it leaves so much beyond the longest
SILENCE_US = 5_000_000  # silence of a connection with sessions before it is checked, where no notes come
LATE_US = 500_000  # where they come, a note that is later by this has not been sent


class ConfigError(Exception):
    """A configuration that cannot be used; the text names the file and the key."""


@dataclass(frozen=True, slots=True)
class HintsConfig:
    """The second front: CMCD and CMSD over HTTP."""

    enabled: bool = False
    host: str = "127.0.0.1"
    port: int = 0
    nodes: Mapping[str, str] = field(default_factory=dict)
    """Addresses of the media nodes that speak HTTP, by id; all others speak the platform's protocol."""


@dataclass(frozen=True, slots=True)
class TenantsConfig:
    """The directory of tenants."""

    ldap: LdapConfig | None = None
    """None: there are no tenants."""
    refresh_s: float = 60.0


@dataclass(frozen=True, slots=True)
class SeatsConfig:
    """Entitlement tokens: the file of seats."""

    audience: str
    keys: Path
    store: Path
    store_mib: int
    rules: Rules
    skew_s: int
    grace_s: int
    revoked: Path | None = None
    proofs: Path | None = None


@dataclass(frozen=True, slots=True)
class PeersConfig:
    """The other brokers of the fleet: the file of peers."""

    listen: tuple[str, int]
    seeds: tuple[str, ...]
    store: Path
    watch: Watch
    standing: QuorumRules
    control: tuple[str, int] | None = None
    """Where operators' commands are answered; None: nowhere."""
    offers: tuple[str, ...] = ()
    via: Mapping[str, str] = field(default_factory=dict)
    """Where peers are reached that are not reached at their own addresses."""
    gap_us: int = 1_000_000
    """How long paid sessions are asked to stay away that the standing does not allow."""


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: tuple[str, int]
    seed: int
    sockets: int
    memory_mb: int
    coordinator_address: str
    index: int
    changes: tuple[endpoint_events.Change, ...]
    """The coordinator's events so far."""
    settings: Settings
    period_us: int
    dial_us: int
    idle_us: int
    silence_us: int
    grace_us: int
    """How long after SIGTERM this process may be sure to run."""
    streams_per_connection: int
    hints: HintsConfig
    tenants: TenantsConfig
    cells: Plan | None = None
    """None: there are no cells."""
    seats: SeatsConfig | None = None
    """None: nothing is asked for tokens."""
    peers: PeersConfig | None = None
    """None: this broker talks to no other."""


def load(
    environment: Mapping[str, str],
    path: Path | None = None,
    hints: Path | None = None,
    tenants: Path | None = None,
    cells: Path | None = None,
    seats: Path | None = None,
    peers: Path | None = None,
) -> Config:
    """Read all of it: the file at ``path``, or that of ``PROXY_CONFIG``; the environment wins over both."""
    named = str(path or environment.get("PROXY_CONFIG", ""))
    if not named:
        raise ConfigError("PROXY_CONFIG is not set and no file is given")
    try:
        told = json.loads(Path(named).read_bytes())
    except OSError as error:
        raise ConfigError(f"{named}: {error.strerror}") from None
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"{named}: not JSON: {error}") from None
    if not isinstance(told, dict):
        raise ConfigError(f"{named}: not an object")
    told = dict(told)
    for key, variable in (("name", "PROXY_NAME"), ("listen", "PROXY_LISTEN")):
        if environment.get(variable):
            told[key] = environment[variable]
    try:
        return read(told, read_hints(hints), read_tenants(tenants), read_cells(cells), seats, peers)
    except ConfigError as error:
        raise ConfigError(f"{named}: {error}") from None


def read(
    told: Mapping[str, Any],
    hints: HintsConfig | None = None,
    tenants: TenantsConfig | None = None,
    cells: Plan | None = None,
    seats: Path | None = None,
    peers: Path | None = None,
) -> Config:
    """Check the parsed object and give defaults."""
    settings = _get(told, "settings", dict)
    pairs = dict(flatten(settings))
    known = told.get("known", {"index": 0, "updates": []})
    try:
        answer = endpoint_events.read(known, 0)
    except ProtocolError as fault:
        raise ConfigError(f"known: {fault}") from None
    if answer.faults:
        raise ConfigError(f"known: {answer.faults[0]}")
    try:
        dial_us = whole(pairs, "Limits.DialTimeoutUs", DEFAULT_DIAL_US)
        idle_us = whole(pairs, "Limits.ConnIdleUs", DEFAULT_IDLE_US)
        tell_us, seen_us = whole(pairs, "FamilyInfo.TellUs", 0), whole(pairs, "FamilyInfo.SeenAfterUs", 0)
        deadlines = [
            whole(pairs, f"Categories.{index}.HardLimitUs", LONGEST_US)
            for index in range(whole(pairs, "Categories.count", 0))
        ]
        limits = _get(told, "limits", dict, {})
        known_settings = read_settings(pairs)
        return Config(
            name=_get(told, "name", str),
            listen=_address(told, "listen"),
            seed=_seed(told),
            sockets=_number(limits, "limits.sockets", DEFAULT_SOCKETS, LEAST_SOCKETS),
            memory_mb=_number(limits, "limits.memory_mb", DEFAULT_MEMORY_MB, 1),
            coordinator_address="{}:{}".format(*_address(told, "coordinator")),
            index=answer.last,
            changes=tuple(answer.changes),
            settings=known_settings,
            period_us=max(1_000, whole(pairs, "PeriodUs", DEFAULT_PERIOD_US)),
            dial_us=dial_us or DEFAULT_DIAL_US,
            idle_us=idle_us or DEFAULT_IDLE_US,
            grace_us=min(LONGEST_US, max(deadlines, default=LONGEST_US)) + AFTER_LAST_US,
            silence_us=tell_us + seen_us + LATE_US if tell_us else SILENCE_US,
            streams_per_connection=max(1, whole(pairs, "Limits.StreamsPerConn", DEFAULT_STREAMS)),
            hints=hints or HintsConfig(),
            tenants=tenants or TenantsConfig(),
            cells=cells,
            seats=read_seats(known_settings, seats),
            peers=read_peers(peers),
        )
    except WireError as error:
        raise ConfigError(f"settings: {error}") from None
    except ValueError as error:
        raise ConfigError(str(error)) from None


def read_hints(path: Path | None = None) -> HintsConfig:
    """The second front's file; without one it is off."""
    told = _toml(path, DEFAULT_HINTS, {"enabled", "listen", "nodes"})
    try:
        enabled = _get(told, "enabled", bool, False)
        host, port = _address(told, "listen") if "listen" in told else ("127.0.0.1", 0)
        nodes = _get(told, "nodes", dict, {})
        for name in nodes:
            _address(nodes, name)
        if enabled and not host.startswith("127.") and host != "localhost":
            raise ConfigError(f"listen must be a loopback address, not {host}")
    except ConfigError as error:
        raise ConfigError(f"{path or DEFAULT_HINTS}: {error}") from None
    return HintsConfig(enabled, host, port, nodes)


def read_tenants(path: Path | None = None) -> TenantsConfig:
    """The directory's file; without one there are no tenants."""
    texts = {"url", "base", "filter", "name_attribute", "rate_attribute", "bind_dn"}
    told = _toml(path, DEFAULT_TENANTS, texts | {"enabled", "password_file", "refresh_s"})
    path = path or DEFAULT_TENANTS
    try:
        if not _get(told, "enabled", bool, False):
            return TenantsConfig()
        for key in ("url", "base"):
            _get(told, key, str)
        given = {key: _get(told, key, str) for key in texts if key in told}
        if not given["url"].startswith(("ldap://", "ldaps://")):
            raise ConfigError(f"url must start with ldap:// or ldaps://, not {given['url'][:40]!r}")
        if "password_file" in told:
            try:
                secret = path.parent / _get(told, "password_file", str)
                given["password"] = secret.read_text(encoding="utf-8").strip()
            except OSError as error:
                raise ConfigError(f"password_file: {error.strerror}") from None
        return TenantsConfig(LdapConfig(**given), _number(told, "refresh_s", 60, 1))
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from None


def read_cells(path: Path | None = None) -> Plan | None:
    """The file of cells; without one, or with one that is not enabled, there are none."""
    told = _toml(path, DEFAULT_CELLS, None)
    try:
        if not _get(told, "enabled", bool, False):
            return None
        from lotuspick.cells.model import PlanError
        from lotuspick.cells.plan_file import parse

        try:
            return parse(told)
        except PlanError as error:
            raise ConfigError(str(error)) from None
    except ConfigError as error:
        raise ConfigError(f"{path or DEFAULT_CELLS}: {error}") from None


def read_seats(settings: Settings, path: Path | None = None) -> SeatsConfig | None:
    """The file of seats; without one, or with one that is not enabled, nothing is asked for tokens."""
    texts = {"audience", "keys", "store", "revoked", "proofs"}
    numbers = {"store_mib": 256, "skew_s": 60, "grace_s": 30, "keep_days": 30}
    told = _toml(path, DEFAULT_SEATS, texts | set(numbers) | {"enabled", "classes", "required", "gap_s"})
    path = path or DEFAULT_SEATS
    try:
        if not _get(told, "enabled", bool, False):
            return None
        from lotuspick.entitlement.seat_session import Rules

        paid = {each.name for each in settings.classes if each.retry_safety is RetrySafety.NOT_IDEMPOTENT}
        classes = _get(told, "classes", list, sorted(paid))
        for name in classes:
            if name not in paid:
                raise ConfigError(f"classes: {name!r} is not a paid class of the settings")
        figures = {
            key: _number(told, key, default, 1 if key == "store_mib" else 0)
            for key, default in numbers.items()
        }
        places = {
            key: path.parent / _get(told, key, str)
            for key in ("keys", "store", "revoked", "proofs")
            if key in told or key in ("keys", "store")
        }
        gap_s = told.get("gap_s", 1.0)
        if isinstance(gap_s, bool) or not isinstance(gap_s, (int, float)) or not 0 <= gap_s <= 3_600:
            raise ConfigError(f"gap_s must be a number from 0 to 3600, not {str(gap_s)[:40]!r}")
        return SeatsConfig(
            _get(told, "audience", str),
            places["keys"],
            places["store"],
            figures["store_mib"],
            Rules(
                frozenset(classes),
                _get(told, "required", bool, True),
                float(gap_s),
                figures["keep_days"] * 86_400.0,
            ),
            figures["skew_s"],
            figures["grace_s"],
            places.get("revoked"),
            places.get("proofs"),
        )
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from None


def read_peers(path: Path | None = None) -> PeersConfig | None:
    """The file of peers; without one, or with one that is not enabled, this broker talks to no other."""
    keys = {
        "enabled",
        "listen",
        "seeds",
        "store",
        "control",
        "offers",
        "brokers",
        "gap_s",
        "via",
        "watch",
        "allowed",
    }
    told = _toml(path, DEFAULT_PEERS, keys)
    path = path or DEFAULT_PEERS
    try:
        if not _get(told, "enabled", bool, False):
            return None
        from lotuspick.membership.model import MAX_OFFERS, MAX_TEXT_LENGTH, MembershipError
        from lotuspick.membership.model import Rules as Watch
        from lotuspick.membership.quorum import QuorumRules

        listen = _address(told, "listen")
        _own(listen[0])
        control = _address(told, "control") if "control" in told else None
        if control is not None and not control[0].startswith("127."):
            raise ConfigError(f"control must be a loopback address, not {control[0]}")
        seeds, offers = _texts(told, "seeds"), _texts(told, "offers")
        for seed in seeds:
            _address({"seeds": seed}, "seeds")
        if len(offers) > MAX_OFFERS or any(len(each) > MAX_TEXT_LENGTH for each in offers):
            raise ConfigError(f"offers must be {MAX_OFFERS} at most, of {MAX_TEXT_LENGTH} characters at most")
        via = _get(told, "via", dict, {})
        for peer in via:
            _address({"via": peer}, "via")
            _address(via, peer)
        brokers = _number(told, "brokers", len(seeds), 1)
        watch = _get(told, "watch", dict, {})
        times = {"period_ms": 300, "silent_ms": 700, "doubt_ms": 1_300, "settle_ms": 2_000}
        if unknown := sorted(set(watch) - set(times)):
            raise ConfigError(f"watch.{unknown[0]} is not a key of this file")
        us = {
            key.replace("_ms", "_us"): _number(watch, f"watch.{key}", default, 1) * 1_000
            for key, default in times.items()
        }
        allowed = {
            name: _texts(_get(told, "allowed", dict), name) for name in _get(told, "allowed", dict, {})
        }
        settle_us = us.pop("settle_us")
        try:
            return PeersConfig(
                listen,
                seeds,
                path.parent / _get(told, "store", str),
                Watch(**us),
                QuorumRules(brokers, settle_us, fresh_us=3 * us["period_us"], allowed=allowed),
                control,
                offers,
                via,
                _number(told, "gap_s", 1, 0) * 1_000_000,
            )
        except MembershipError as fault:
            raise ConfigError(str(fault).replace("_us must", "_ms must")) from None
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from None


def _own(host: str) -> None:
    """Guards against a link that is open to more than the network between brokers, on which nobody proves who they are:
    the operator names one address of this host's, and not one that the world can reach."""
    import ipaddress
    import socket

    try:
        place = ipaddress.IPv4Address(host)
    except ValueError:
        raise ConfigError(f"listen must name an IPv4 address, not {host[:40]!r}") from None
    if place.is_unspecified or place.is_multicast or place.is_global:
        raise ConfigError(f"listen must be one address of this host's on a private network, not {host}")
    with socket.socket() as probe:
        try:
            probe.bind((host, 0))
        except OSError as error:
            raise ConfigError(f"listen: {host} is not an address of this host: {error.strerror}") from None


def _texts(told: Mapping[str, Any], key: str) -> tuple[str, ...]:
    listed = _get(told, key, list, [])
    if not all(isinstance(each, str) for each in listed):
        raise ConfigError(f"{key} must be a list of texts")
    return tuple(listed)


def _toml(path: Path | None, default: Path, keys: set[str] | None) -> dict[str, Any]:
    """A file of the operators' own; the default one need not exist. ``keys``: those that it may have, where they
    are not checked later."""
    if path is None and not default.exists():
        return {}
    path = path or default
    try:
        told = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except ValueError as error:
        raise ConfigError(f"{path}: not TOML: {error}") from None
    unknown = sorted(set(told) - keys) if keys is not None else []
    if unknown:
        raise ConfigError(f"{path}: {unknown[0]} is not a key of this file")
    return told


def flatten(value: Any, at: str = "") -> Iterator[tuple[str, str]]:
    """Nested JSON as the path=value pairs of the simulator's wire."""
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from flatten(inner, f"{at}.{key}" if at else str(key))
    elif isinstance(value, list) and any(isinstance(each, dict) for each in value):
        yield f"{at}.count", str(len(value))
        for index, inner in enumerate(value):
            yield from flatten(inner, f"{at}.{index}")
    elif isinstance(value, list):
        yield at, ",".join(_scalar(each) for each in value)
    elif value is not None:
        yield at, _scalar(value)


def _scalar(value: Any) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)


def _get(told: Mapping[str, Any], key: str, kind: type, default: Any = None) -> Any:
    value = told.get(key, default)
    if value is None:
        raise ConfigError(f"{key} is missing")
    if not isinstance(value, kind):
        raise ConfigError(f"{key} must be {kind.__name__}, not {str(value)[:40]!r}")
    return value


def _number(told: Mapping[str, Any], key: str, default: int, least: int) -> int:
    value = told.get(key.rpartition(".")[2], default)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value < least:
        raise ConfigError(f"{key} must be a number of {least} or more, not {str(value)[:40]!r}")
    return int(value)


def _address(told: Mapping[str, Any], key: str) -> tuple[str, int]:
    try:
        return endpoint_events.address(_get(told, key, str))
    except ProtocolError as fault:
        raise ConfigError(f"{key}: {fault}") from None


def _seed(told: Mapping[str, Any]) -> int:
    text = _get(told, "seed", str, "0")
    try:
        return int(text, 16)
    except ValueError:
        raise ConfigError(f"seed must be hex digits, not {text[:40]!r}") from None
