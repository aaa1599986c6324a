"""Site settings and broker configuration files of the rigs."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

IDEMPOTENT_CLASS = "clip"
"""Class of sessions whose set-up may be repeated."""
PAID_CLASS = "exam"
"""Class of sessions whose set-up must not be executed twice."""
SITE_SETTINGS: dict[str, Any] = {
    "Az": "a",
    "GroupSize": 1,
    "MachineTypes": ["box"],
    "PeriodUs": 10_000,
    "Discovery": "automatic",
    "Categories": [
        {"Name": IDEMPOTENT_CLASS, "Repeat": "pure", "TargetUs": 1_000_000, "Worth": 1.0},
        {
            "Name": PAID_CLASS,
            "Repeat": "side_effect",
            "TargetUs": 1_000_000,
            "Worth": 2.0,
            "HardLimitUs": 3_000_000,
        },
    ],
    "FamilyInfo": {
        "LevelKb": [1.0, 2.0, 4.0],
        "WorthByRung": [0.3, 0.6, 1.0],
        "WeightKb": 4e6,
        "PlacesByKind": [4_000],
        "ClassFloor": [0, 1],
    },
    "Limits": {
        "AttemptsCap": 3,
        "DialTimeoutUs": 250_000,
        "ConnIdleUs": 30_000_000,
        "StreamsPerConn": 512,
        "RetryAfter": True,
        "MaxRetryAfterUs": 2_000_000,
    },
    "Invariants": {"DrainGraceUs": 2_000_000},
}

GENEROUS_LIMITS: dict[str, float] = {"cores": 1.0, "memory_mb": 2_048, "sockets": 4_096}
"""Limits above the usage of every rig."""


def endpoint_list(node_ports: Sequence[int]) -> list[dict[str, Any]]:
    """Return the endpoint list of media nodes on loopback."""
    return [
        {
            "id": f"s-{node}",
            "addr": f"127.0.0.1:{port}",
            "zone": "a",
            "kind": "box",
            "cell": node,
            "state": "in_service",
            "weight": 1,
            "started_ms": 0,
        }
        for node, port in enumerate(node_ports)
    ]


def broker_configuration(
    name: str,
    port: int,
    seed: int,
    coordinator_port: int,
    settings: Mapping[str, Any],
    node_ports: Sequence[int],
    limits: Mapping[str, float] = GENEROUS_LIMITS,
) -> dict[str, Any]:
    """Return the configuration of one broker.

    Args:
        name: Name of the broker.
        port: Port for viewers.
        seed: Random seed of the broker.
        coordinator_port: Port of the coordinator.
        settings: Site settings; the number of positions is added.
        node_ports: Ports of the media nodes.
        limits: Resource limits of the process, in the keys of the platform.
    """
    servers = endpoint_list(node_ports)
    return {
        "name": name,
        "listen": f"127.0.0.1:{port}",
        "seed": f"{seed:x}",
        "settings": {**settings, "FamilyInfo": {**settings["FamilyInfo"], "Cells": len(servers)}},
        "limits": dict(limits),
        "coordinator": f"127.0.0.1:{coordinator_port}",
        "known": {
            "index": 1,
            "updates": [{"index": 1, "endpoints": {"version": 1, "full": True, "servers": servers}}],
        },
    }
