"""Signing keys on disk, one folder for each issuer.

``keys.json`` holds the public keys as a JWK set (RFC 7517, 8037) and is distributed to brokers. The folder
also holds a PEM file for each private key that this issuer can sign with, readable only by its owner.
"""

from __future__ import annotations

import base64
import json
import os
import secrets
import stat
from dataclasses import replace
from pathlib import Path
from typing import Any

from cryptography.exceptions import UnsupportedAlgorithm
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey, Ed25519PublicKey
from cryptography.hazmat.primitives.serialization import (
    Encoding,
    NoEncryption,
    PrivateFormat,
    PublicFormat,
    load_pem_private_key,
)

from lotuspick.entitlement.tokens import PublicKey
from lotuspick.errors import LotuspickError
from lotuspick.transport.storage.replaced_file import replace_file

MAX_KEYS = 64
PUBLIC_KEYS_FILE = "keys.json"
FOLDER_MODE, PRIVATE_KEY_MODE = 0o700, 0o600
GROUP_AND_OTHERS_PERMISSIONS = 0o077  # permission bits of group and others
KEY_ID_RANDOM_BYTES = 2
KEY_TYPE, CURVE, KEY_USE = "OKP", "Ed25519", "sig"  # JWK values


class KeyFolderError(LotuspickError):
    """Keys that cannot be used; the message names the file and never quotes its contents."""


class KeyFolder:
    """The keys of one issuer."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.public_keys_file = folder, folder / PUBLIC_KEYS_FILE

    def load(self) -> dict[str, PublicKey]:
        """Return the public keys by id, oldest first; empty if the file does not exist.

        Raises:
            KeyFolderError: the file cannot be read, or its keys are invalid.
        """
        try:
            jwks = json.loads(self.public_keys_file.read_text(encoding="utf-8"))["keys"]
            keys = [_key_from_jwk(jwk) for jwk in jwks]
        except FileNotFoundError:
            return {}
        except OSError as error:
            raise KeyFolderError(f"{self.public_keys_file}: {error.strerror}") from error
        except (ValueError, KeyError, TypeError) as error:
            raise KeyFolderError(
                f"{self.public_keys_file}: not a JWK set of Ed25519 keys: {error}"
            ) from error
        if len({key.kid for key in keys}) < len(keys) or len(keys) > MAX_KEYS:
            raise KeyFolderError(f"{self.public_keys_file}: duplicate key id, or more than {MAX_KEYS} keys")
        return {key.kid: key for key in keys}

    def load_private_key(self, kid: str) -> Ed25519PrivateKey:
        """Load the private key with an id.

        Raises:
            KeyFolderError: the file cannot be used, or is accessible to other users.
        """
        path = self._private_key_file(kid)
        try:
            mode = stat.S_IMODE(path.stat().st_mode)
            if mode & GROUP_AND_OTHERS_PERMISSIONS:
                raise KeyFolderError(f"{path}: accessible to other users (mode {mode:o}); set mode 600")
            key = load_pem_private_key(path.read_bytes(), None)
        except OSError as error:
            raise KeyFolderError(f"{path}: {error.strerror}") from error
        except (ValueError, TypeError, UnsupportedAlgorithm):
            raise KeyFolderError(f"{path}: not a private key") from None  # the cause could quote the file
        if not isinstance(key, Ed25519PrivateKey):
            raise KeyFolderError(f"{path}: not an Ed25519 key")
        return key

    def create_key(self, now_s: int, overlap_s: int) -> PublicKey:
        """Create a key that signs from now on, and set an end time for the existing keys.

        Args:
            now_s: the Unix time, in seconds.
            overlap_s: the time for which the existing keys may still sign, in seconds. It keeps tokens valid
                that are signed elsewhere before the new key is distributed.

        Raises:
            KeyFolderError: the public keys cannot be read.
        """
        existing_keys = self.load().values()
        private_key = Ed25519PrivateKey.generate()
        kid = f"k{now_s:x}-{secrets.token_hex(KEY_ID_RANDOM_BYTES)}"
        new_key = PublicKey(kid, private_key.public_key(), now_s)
        self._write_private_key(kid, private_key)
        expiring_keys = [replace(key, until_s=min(key.until_s, now_s + overlap_s)) for key in existing_keys]
        self._write_public_keys([*expiring_keys, new_key])
        return new_key

    def withdraw(self, kid: str) -> None:
        """Withdraw a key: invalidate all tokens signed with it and delete its private key.

        Raises:
            KeyFolderError: no key has this id, or the public keys cannot be read.
        """
        keys = self.load()
        if kid not in keys:
            raise KeyFolderError(f"{self.public_keys_file}: no key {kid}")
        keys[kid] = replace(keys[kid], withdrawn=True)
        self._write_public_keys(list(keys.values()))
        self._private_key_file(kid).unlink(missing_ok=True)

    def _private_key_file(self, kid: str) -> Path:
        return self.folder / f"{kid}.pem"

    def _write_private_key(self, kid: str, key: Ed25519PrivateKey) -> None:
        """Write a private key to a new file, which is created with owner-only permissions."""
        pem = key.private_bytes(Encoding.PEM, PrivateFormat.PKCS8, NoEncryption())
        self.folder.mkdir(mode=FOLDER_MODE, parents=True, exist_ok=True)
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
        descriptor = os.open(self._private_key_file(kid), flags, PRIVATE_KEY_MODE)
        with os.fdopen(descriptor, "wb") as file:
            file.write(pem)

    def _write_public_keys(self, keys: list[PublicKey]) -> None:
        """Replace the file atomically, so that a reader never sees a partial one."""
        text = json.dumps({"keys": [_jwk_from_key(key) for key in keys]}, indent=1)
        replace_file(self.public_keys_file, text + "\n")


def _jwk_from_key(key: PublicKey) -> dict[str, Any]:
    raw = key.key.public_bytes(Encoding.Raw, PublicFormat.Raw)
    return {
        "kty": KEY_TYPE,
        "crv": CURVE,
        "use": KEY_USE,
        "kid": key.kid,
        "x": base64.urlsafe_b64encode(raw).decode().rstrip("="),
        "from": key.from_s,
        "until": key.until_s,
        "withdrawn": key.withdrawn,
    }


def _key_from_jwk(jwk: dict[str, Any]) -> PublicKey:
    if (jwk["kty"], jwk["crv"]) != (KEY_TYPE, CURVE):
        raise ValueError(f"key {jwk['kid']!r:.40} has another type or curve")
    padding = "=" * (-len(jwk["x"]) % 4)  # omitted in a JWK
    raw = base64.urlsafe_b64decode(jwk["x"] + padding)
    return PublicKey(
        str(jwk["kid"]),
        Ed25519PublicKey.from_public_bytes(raw),
        int(jwk["from"]),
        int(jwk["until"]),
        jwk["withdrawn"] is True,
    )
