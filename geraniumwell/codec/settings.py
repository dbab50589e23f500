"""Decoding and validation of settings files in JSON."""

from dataclasses import fields, is_dataclass
from difflib import get_close_matches
from pathlib import Path
from re import fullmatch
from typing import Any, get_args, get_type_hints

from msgspec import ValidationError, convert
from msgspec.json import decode

from geraniumwell.codec.json import DECODER_ERRORS
from geraniumwell.commands.intake.limits import fits_largest_body
from geraniumwell.commands.intake.serve_limits import derive_server_limits
from geraniumwell.const import MAX_PORT
from geraniumwell.exceptions import SettingsError
from geraniumwell.model.settings import Limits, Settings

# Low enough for an abbreviation such as "cert" to match the full key.
NEAREST_CUTOFF = 0.4


def load_settings(path: Path) -> Settings:
    """Return the settings in a file.

    Raises
    ------
    SettingsError
        With the path of the invalid key and the expected value.
    """
    try:
        text = path.read_bytes()
    except OSError as exc:
        raise SettingsError(str(path), f"a readable file ({exc.strerror})") from exc
    return parse_settings(text)


def parse_settings(text: bytes) -> Settings:
    """Return the settings in a JSON text.

    Raises
    ------
    SettingsError
        With the path of the invalid key and the expected value.
    """
    try:
        raw = decode(text)
    except DECODER_ERRORS as exc:
        raise SettingsError("$", f"JSON ({exc})") from exc
    _check_keys(raw, Settings, "$")
    try:
        cfg = convert(raw, Settings)
    except ValidationError as exc:
        raise _translate(exc) from exc
    _check_addresses(cfg)
    _check_limits(cfg.limits)
    return cfg


def _translate(exc: ValidationError) -> SettingsError:
    message, _, key = str(exc).partition(" - at ")
    key = key.strip("`") or "$"
    missing = fullmatch(r"Object missing required field `(\w+)`", message)
    if missing:
        return SettingsError(f"{key}.{missing[1]}", "a value")
    return SettingsError(key, message.removeprefix("Expected "))


def _check_addresses(cfg: Settings) -> None:
    addresses = {
        "$.listen.callers": cfg.listen.callers,
        "$.listen.operators": cfg.listen.operators,
        "$.listen.peers": cfg.listen.peers,
        "$.platform": cfg.platform,
    }
    for index, peer in enumerate(cfg.peers):
        addresses[f"$.peers[{index}].address"] = peer.address
    for key, address in addresses.items():
        host, _, port = address.rpartition(":")
        if not host or not port.isdecimal() or int(port) > MAX_PORT:
            raise SettingsError(key, f"ip:port, not {address!r}")


def _check_limits(limits: Limits) -> None:
    for item in fields(limits):
        if getattr(limits, item.name) <= 0:
            raise SettingsError(f"$.limits.{item.name}", "a number above 0")
    callers, operators = derive_server_limits(limits)
    if not fits_largest_body(callers) or not fits_largest_body(operators):
        expected = f"enough memory for a body of {limits.body_bytes} bytes"
        raise SettingsError("$.limits.memory_mb", expected)


def _check_keys(raw: Any, kind: Any, path: str) -> None:
    if isinstance(raw, list):
        for index, item in enumerate(raw):
            _check_keys(item, get_args(kind)[0], f"{path}[{index}]")
        return
    kind = next((k for k in (kind, *get_args(kind)) if is_dataclass(k)), None)
    if kind is None or not isinstance(raw, dict):
        return
    known = [item.name for item in fields(kind)]
    hints = get_type_hints(kind)
    for key, value in raw.items():
        if key not in known:
            nearest = get_close_matches(key, known, 1, NEAREST_CUTOFF)
            hint = f"; did you mean {nearest[0]}?" if nearest else ""
            raise SettingsError(f"{path}.{key}", f"no such key{hint}")
        _check_keys(value, hints[key], f"{path}.{key}")
