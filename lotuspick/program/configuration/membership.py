"""Reads the peers file, which enables membership in a fleet of brokers."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from lotuspick.program.configuration.model import ConfigError, PeersConfig
from lotuspick.program.configuration.values import (
    read_address,
    read_number,
    read_strings,
    read_toml,
    read_value,
)

DEFAULT_PEERS_PATH = Path("deploy/peers.toml")
KEYS = {
    "allowed",
    "brokers",
    "control",
    "enabled",
    "gap_s",
    "listen",
    "offers",
    "seeds",
    "store",
    "via",
    "watch",
}
DEFAULT_WATCH_MS = {"period_ms": 300, "silent_ms": 700, "doubt_ms": 1_300, "settle_ms": 2_000}
FRESHNESS_PERIODS = 3
"""Number of failure detection periods for which an observation of the quorum state stays valid."""


def read_peers(path: Path | None = None) -> PeersConfig | None:
    """Read the peers file; return None if it is missing or not enabled, so that the broker runs alone.

    Raises:
        ConfigError: the file is invalid.
    """
    table = read_toml(path, DEFAULT_PEERS_PATH, KEYS)
    path = path or DEFAULT_PEERS_PATH
    try:
        if not read_value(table, "enabled", bool, False):
            return None
        return _parse_peers(table, path.parent)
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from None


def _parse_peers(table: dict[str, Any], folder: Path) -> PeersConfig:
    from lotuspick.membership.model import FailureDetectionRules, MembershipError
    from lotuspick.membership.quorum import QuorumRules

    listen = read_address(table, "listen")
    _require_private_address(listen[0])
    control = _parse_control(table)
    seeds = read_strings(table, "seeds")
    offers = read_strings(table, "offers")
    _check_seeds_and_offers(seeds, offers)
    overrides = _parse_address_overrides(table)
    brokers = read_number(table, "brokers", len(seeds), 1)
    detection_times_us = _parse_detection_times_us(table)
    allowed = {
        name: read_strings(read_value(table, "allowed", dict), name)
        for name in read_value(table, "allowed", dict, {})
    }
    settle_us = detection_times_us.pop("settle_us")
    max_age_us = FRESHNESS_PERIODS * detection_times_us["period_us"]
    try:
        return PeersConfig(
            listen=listen,
            seeds=seeds,
            store=folder / read_value(table, "store", str),
            detection_rules=FailureDetectionRules(**detection_times_us),
            quorum_rules=QuorumRules(brokers, settle_us, max_age_us=max_age_us, allowed=allowed),
            control=control,
            offers=offers,
            address_overrides=overrides,
            retry_after_us=read_number(table, "gap_s", 1, 0) * 1_000_000,
        )
    except MembershipError as error:
        raise ConfigError(str(error).replace("_us must", "_ms must")) from None


def _parse_control(table: dict[str, Any]) -> tuple[str, int] | None:
    control = read_address(table, "control") if "control" in table else None
    if control is not None and not control[0].startswith("127."):
        raise ConfigError(f"control must be a loopback address, not {control[0]}")
    return control


def _check_seeds_and_offers(seeds: tuple[str, ...], offers: tuple[str, ...]) -> None:
    from lotuspick.membership.model import MAX_OFFERS, MAX_TEXT_LENGTH

    for seed in seeds:
        read_address({"seeds": seed}, "seeds")
    if len(offers) > MAX_OFFERS or any(len(offer) > MAX_TEXT_LENGTH for offer in offers):
        raise ConfigError(
            f"offers must be at most {MAX_OFFERS} strings of at most {MAX_TEXT_LENGTH} characters"
        )


def _parse_address_overrides(table: dict[str, Any]) -> dict[str, str]:
    overrides: dict[str, str] = read_value(table, "via", dict, {})
    for peer in overrides:
        read_address({"via": peer}, "via")
        read_address(overrides, peer)
    return overrides


def _parse_detection_times_us(table: dict[str, Any]) -> dict[str, int]:
    """Read the times of ``[watch]`` in microseconds, under the field names of the failure detection rules."""
    watch = read_value(table, "watch", dict, {})
    if unknown := sorted(set(watch) - set(DEFAULT_WATCH_MS)):
        raise ConfigError(f"watch.{unknown[0]} is not a key of this file")
    return {
        key.replace("_ms", "_us"): read_number(watch, f"watch.{key}", default, 1) * 1_000
        for key, default in DEFAULT_WATCH_MS.items()
    }


def _require_private_address(host: str) -> None:
    """Reject a listening address that is public or covers several interfaces.

    Connections between brokers are not authenticated, so the operator must name one address of this host
    that cannot be reached from the public network.
    """
    import ipaddress
    import socket

    try:
        address = ipaddress.IPv4Address(host)
    except ValueError:
        raise ConfigError(f"listen must name an IPv4 address, not {host[:40]!r}") from None
    if address.is_unspecified or address.is_multicast or address.is_global:
        raise ConfigError(f"listen must be one address of this host on a private network, not {host}")
    with socket.socket() as probe:
        try:
            probe.bind((host, 0))
        except OSError as error:
            raise ConfigError(f"listen: {host} is not an address of this host: {error.strerror}") from None
