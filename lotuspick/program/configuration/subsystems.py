"""Reads the files that enable the HTTP front, the directory of tenants and cells."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any

from lotuspick.program.configuration.model import ConfigError, HintsConfig, TenantsConfig
from lotuspick.program.configuration.values import read_address, read_number, read_toml, read_value
from lotuspick.transport.directory import LdapConfig

if TYPE_CHECKING:
    from lotuspick.cells.model import Plan

DEFAULT_HINTS_PATH = Path("deploy/hints.toml")
DEFAULT_TENANTS_PATH = Path("deploy/tenants.toml")
DEFAULT_CELLS_PATH = Path("deploy/cells.toml")
LDAP_KEYS = {"url", "base", "filter", "name_attribute", "rate_attribute", "bind_dn"}
DEFAULT_REFRESH_S = 60


def read_hints(path: Path | None = None) -> HintsConfig:
    """Read the file of the HTTP front, which is disabled if the file is missing.

    Raises:
        ConfigError: the file is invalid.
    """
    table = read_toml(path, DEFAULT_HINTS_PATH, {"enabled", "listen", "nodes"})
    try:
        return _parse_hints(table)
    except ConfigError as error:
        raise ConfigError(f"{path or DEFAULT_HINTS_PATH}: {error}") from None


def _parse_hints(table: dict[str, Any]) -> HintsConfig:
    enabled = read_value(table, "enabled", bool, False)
    host, port = read_address(table, "listen") if "listen" in table else ("127.0.0.1", 0)
    nodes = read_value(table, "nodes", dict, {})
    for name in nodes:
        read_address(nodes, name)
    if enabled and not host.startswith("127.") and host != "localhost":
        raise ConfigError(f"listen must be a loopback address, not {host}")
    return HintsConfig(enabled, host, port, nodes)


def read_tenants(path: Path | None = None) -> TenantsConfig:
    """Read the file of the tenant directory, which is disabled if the file is missing.

    Raises:
        ConfigError: the file is invalid.
    """
    table = read_toml(path, DEFAULT_TENANTS_PATH, LDAP_KEYS | {"enabled", "password_file", "refresh_s"})
    path = path or DEFAULT_TENANTS_PATH
    try:
        if not read_value(table, "enabled", bool, False):
            return TenantsConfig()
        ldap = _parse_ldap(table, path.parent)
        return TenantsConfig(ldap, read_number(table, "refresh_s", DEFAULT_REFRESH_S, 1))
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from None


def _parse_ldap(table: dict[str, Any], folder: Path) -> LdapConfig:
    for key in ("url", "base"):
        read_value(table, key, str)
    ldap_values = {key: read_value(table, key, str) for key in LDAP_KEYS if key in table}
    if not ldap_values["url"].startswith(("ldap://", "ldaps://")):
        raise ConfigError(f"url must start with ldap:// or ldaps://, not {ldap_values['url'][:40]!r}")
    if "password_file" in table:
        secret = folder / read_value(table, "password_file", str)
        try:
            ldap_values["password"] = secret.read_text(encoding="utf-8").strip()
        except OSError as error:
            raise ConfigError(f"password_file: {error.strerror}") from None
    return LdapConfig(**ldap_values)


def read_cells(path: Path | None = None) -> Plan | None:
    """Read the cells file; return None if it is missing or not enabled.

    Raises:
        ConfigError: the file is invalid.
    """
    table = read_toml(path, DEFAULT_CELLS_PATH, None)
    try:
        if not read_value(table, "enabled", bool, False):
            return None
        return _parse_plan(table)
    except ConfigError as error:
        raise ConfigError(f"{path or DEFAULT_CELLS_PATH}: {error}") from None


def _parse_plan(table: dict[str, Any]) -> Plan:
    from lotuspick.cells.model import PlanError
    from lotuspick.cells.plan_file import parse

    try:
        return parse(table)
    except PlanError as error:
        raise ConfigError(str(error)) from None
