"""Tenants and their request rates from an LDAP directory.

The client library is imported inside functions: importing it takes a sixth of the program's start-up time,
and most sites have no directory.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from lotuspick.routing.interfaces import TenantDirectoryError

TIMEOUT_S = 5  # of the connection set-up and of each response
PAGE_ENTRIES = 500  # per page of search results


@dataclass(frozen=True, slots=True)
class LdapConfig:
    """The address of the directory, the search for tenants and the attributes to read."""

    url: str
    base: str
    filter: str = "(objectClass=organizationalUnit)"
    name_attribute: str = "ou"
    rate_attribute: str = "description"
    bind_dn: str = ""
    password: str = ""


def connect(config: LdapConfig) -> Any:
    """Open and bind a connection; anonymous if ``bind_dn`` is empty."""
    import ldap3

    server = ldap3.Server(config.url, connect_timeout=TIMEOUT_S)
    return ldap3.Connection(
        server,
        config.bind_dn or None,
        config.password or None,
        read_only=True,
        receive_timeout=TIMEOUT_S,
        auto_bind=True,
    )


class LdapDirectory:
    """A :class:`lotuspick.routing.interfaces.TenantDirectory`; opens a connection for each read."""

    def __init__(self, config: LdapConfig, connector: Callable[[LdapConfig], Any] = connect) -> None:
        self.config, self.connector = config, connector

    def rates(self) -> dict[str, float]:
        """Read the rate of each tenant in requests per second, by tenant name. Blocks.

        Raises:
            TenantDirectoryError: the directory cannot be read, or an entry has no valid name or rate.
        """
        from ldap3.core.exceptions import LDAPException

        try:
            entries = self._search()
        except (LDAPException, OSError) as error:
            raise TenantDirectoryError(f"{self.config.url}: {error}") from error
        rates = {}
        for entry in entries:
            if "attributes" not in entry:
                continue  # a referral to another server
            name = _first_value(entry, self.config.name_attribute)
            text = _first_value(entry, self.config.rate_attribute)
            rates[name] = _parse_rate(text, entry["dn"], self.config.rate_attribute)
        return rates

    def _search(self) -> list[dict[str, Any]]:
        import ldap3

        config = self.config
        connection = self.connector(config)
        try:
            return list(
                connection.extend.standard.paged_search(
                    config.base,
                    config.filter,
                    ldap3.SUBTREE,
                    paged_size=PAGE_ENTRIES,
                    generator=True,
                    attributes=[config.name_attribute, config.rate_attribute],
                )
            )
        finally:
            connection.unbind()


def _first_value(entry: dict[str, Any], attribute: str) -> str:
    value = entry["attributes"].get(attribute)
    value = value[0] if isinstance(value, list) and value else value
    if not value:
        raise TenantDirectoryError(f"{entry['dn']}: {attribute} is missing")
    return str(value)


def _parse_rate(text: str, dn: str, attribute: str) -> float:
    try:
        rate = float(text)
    except ValueError:
        rate = math.nan
    if not 0 <= rate < math.inf:
        raise TenantDirectoryError(f"{dn}: {attribute} must be a number of 0 or more, not {text[:40]!r}")
    return rate
