"""Keys on disk: a folder with ``keys.json``, the public keys as a JWK set (RFC 7517, 8037), which brokers get, and a
private key beside it for each that this issuer may sign with, readable by its owner alone."""

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

MAX_KEYS = 64


class KeyFolderError(Exception):
    """Keys that cannot be used; the text names the file and never what is in it."""


class KeyFolder:
    """The keys of one issuer."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.public_keys_file = folder, folder / "keys.json"

    def load(self) -> dict[str, PublicKey]:
        """The public keys by id, oldest first. Raises :class:`KeyFolderError`."""
        try:
            jwks = json.loads(self.public_keys_file.read_text(encoding="utf-8"))["keys"]
            keys = [_key_from_jwk(each) for each in jwks]
        except FileNotFoundError:
            return {}
        except OSError as error:
            raise KeyFolderError(f"{self.public_keys_file}: {error.strerror}") from None
        except (ValueError, KeyError, TypeError) as error:
            raise KeyFolderError(f"{self.public_keys_file}: not a set of Ed25519 keys: {error}") from None
        if len({key.kid for key in keys}) < len(keys) or len(keys) > MAX_KEYS:
            raise KeyFolderError(f"{self.public_keys_file}: an id twice, or more than {MAX_KEYS} keys")
        return {key.kid: key for key in keys}

    def private(self, kid: str) -> Ed25519PrivateKey:
        """A key to sign with. Raises :class:`KeyFolderError` where others may read it."""
        path = self.folder / f"{kid}.pem"
        try:
            mode = path.stat().st_mode
            if stat.S_IMODE(mode) & 0o077:
                raise KeyFolderError(
                    f"{path}: may be read by others (mode {stat.S_IMODE(mode):o}); it must be 600"
                )
            key = load_pem_private_key(path.read_bytes(), None)
        except OSError as error:
            raise KeyFolderError(f"{path}: {error.strerror}") from None
        except (ValueError, TypeError, UnsupportedAlgorithm):
            raise KeyFolderError(f"{path}: not a private key") from None
        if not isinstance(key, Ed25519PrivateKey):
            raise KeyFolderError(f"{path}: not an Ed25519 key")
        return key

    def make(self, now_s: int, overlap_s: int) -> PublicKey:
        """A new key that signs from now on; those before it may have signed for ``overlap_s`` longer, so that tokens
        which were made in the meantime elsewhere are still good."""
        keys = self.load()
        private = Ed25519PrivateKey.generate()
        key = PublicKey(f"k{now_s:x}-{secrets.token_hex(2)}", private.public_key(), now_s)
        pem = private.private_bytes(Encoding.PEM, PrivateFormat.PKCS8, NoEncryption())
        self.folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        path = self.folder / f"{key.kid}.pem"
        with os.fdopen(os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600), "wb") as file:
            file.write(pem)
        ended = [replace(key, until_s=min(key.until_s, now_s + overlap_s)) for key in keys.values()]
        self._write([*ended, key])
        return key

    def withdraw(self, kid: str) -> None:
        """Nothing that this key signed is good any more. Its private key is removed. Raises :class:`KeyFolderError`."""
        keys = self.load()
        if kid not in keys:
            raise KeyFolderError(f"{self.public_keys_file}: no key {kid}")
        keys[kid] = replace(keys[kid], withdrawn=True)
        self._write(list(keys.values()))
        (self.folder / f"{kid}.pem").unlink(missing_ok=True)

    def _write(self, keys: list[PublicKey]) -> None:
        replacement = self.public_keys_file.with_suffix(".new")
        replacement.write_text(
            json.dumps({"keys": [_jwk(key) for key in keys]}, indent=1) + "\n", encoding="utf-8"
        )
        replacement.replace(self.public_keys_file)


def _jwk(key: PublicKey) -> dict[str, Any]:
    raw = key.key.public_bytes(Encoding.Raw, PublicFormat.Raw)
    return {
        "kty": "OKP",
        "crv": "Ed25519",
        "use": "sig",
        "kid": key.kid,
        "x": base64.urlsafe_b64encode(raw).decode().rstrip("="),
        "from": key.from_s,
        "until": key.until_s,
        "withdrawn": key.withdrawn,
    }


def _key_from_jwk(jwk: dict[str, Any]) -> PublicKey:
    if (jwk["kty"], jwk["crv"]) != ("OKP", "Ed25519"):
        raise ValueError(f"key {jwk['kid']!r:.40} is of another kind")
    raw = base64.urlsafe_b64decode(jwk["x"] + "=" * (-len(jwk["x"]) % 4))
    return PublicKey(
        str(jwk["kid"]),
        Ed25519PublicKey.from_public_bytes(raw),
        int(jwk["from"]),
        int(jwk["until"]),
        jwk["withdrawn"] is True,
    )
