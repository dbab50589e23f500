"""Decoding of a configuration that is checked before an operator sends it."""

from collections.abc import Iterator
from typing import Any, Final, get_args, get_origin

from msgspec import Struct, ValidationError, convert
from msgspec.json import decode
from msgspec.structs import fields

from geraniumwell.codec.json import DECODER_ERRORS, CodecError
from geraniumwell.model.batch.proposal import (
    EntryKind,
    Finding,
    Location,
    ProposedConfiguration,
    UnreadableConfiguration,
    UnreadableValue,
)
from geraniumwell.platform.decode import decode_catalog, make_organisation
from geraniumwell.platform.wire import WireProposedConfig, decode_wire

KEY_BY_KIND: Final = {
    EntryKind.QUEUE: "Routes",
    EntryKind.SERVICE: "Services",
    EntryKind.ORGANISATION: "Tenants",
}
KEY_BY_ATTRIBUTE: Final = {
    (EntryKind.CONFIGURATION, "version"): "Version",
    (EntryKind.CONFIGURATION, "body_limit_bytes"): "Limits.MaxBodyBytes",
    (EntryKind.QUEUE, "name"): "Name",
    (EntryKind.QUEUE, "host"): "Host",
    (EntryKind.QUEUE, "prefix"): "PathPrefix",
    (EntryKind.QUEUE, "service"): "Service",
    (EntryKind.QUEUE, "target_seconds"): "TargetLatencyMs",
    (EntryKind.QUEUE, "timeout_seconds"): "TimeoutMs",
    (EntryKind.QUEUE, "stretch"): "Stretch",
    (EntryKind.QUEUE, "max_attempts"): "MaxAttempts",
    (EntryKind.SERVICE, "name"): "Name",
    (EntryKind.ORGANISATION, "name"): "Name",
    (EntryKind.ORGANISATION, "keys"): "ApiKeys",
    (EntryKind.ORGANISATION, "guaranteed_accelerators"): "Guaranteed.Gpu",
}


def decode_proposal(data: bytes) -> ProposedConfiguration | UnreadableConfiguration:
    """Decode a configuration as the daemons do, and list all unreadable values."""
    try:
        catalog = decode_catalog(data)
        wire: WireProposedConfig = decode_wire(data, WireProposedConfig)
    except CodecError as exc:
        values = tuple(_find_unreadable(data))
        return UnreadableConfiguration(values or (UnreadableValue("$", str(exc)),))
    return ProposedConfiguration(
        catalog,
        tuple(route.timeout_ms / 1000 for route in wire.routes),
        # The wire type does not tell an absent list from an empty one.
        tuple(service.name for service in wire.services)
        if "Services" in decode(data)
        else None,
        tuple(make_organisation(tenant) for tenant in wire.tenants),
    )


def format_path(finding: Finding) -> str:
    """Return the path of the key that a finding is about."""
    match finding:
        case UnreadableValue(path):
            return path
        case _:
            return _format_location(finding.location)


def _format_location(location: Location) -> str:
    parts = ["$"]
    if location.kind in KEY_BY_KIND:
        index = "" if location.index is None else f"[{location.index}]"
        parts.append(f"{KEY_BY_KIND[location.kind]}{index}")
    if location.attribute:
        parts.append(KEY_BY_ATTRIBUTE[location.kind, location.attribute])
    return ".".join(parts)


def _find_unreadable(data: bytes) -> Iterator[UnreadableValue]:
    """Return all unreadable values; the decoder itself stops at the first one."""
    try:
        raw = decode(data)
    except DECODER_ERRORS as exc:
        yield UnreadableValue("$", f"expected JSON ({exc})")
        return
    yield from _find_unreadable_parts(raw, WireProposedConfig, "$")


def _find_unreadable_parts(raw: Any, kind: Any, path: str) -> Iterator[UnreadableValue]:
    if isinstance(raw, list) and get_origin(kind) is tuple:
        for index, item in enumerate(raw):
            yield from _find_unreadable_parts(
                item, get_args(kind)[0], f"{path}[{index}]"
            )
    elif isinstance(raw, dict) and isinstance(kind, type) and issubclass(kind, Struct):
        for field in fields(kind):
            key = field.encode_name
            if key in raw:
                yield from _find_unreadable_parts(raw[key], field.type, f"{path}.{key}")
            elif field.required:
                yield UnreadableValue(f"{path}.{key}", "expected a value")
    else:
        try:
            convert(raw, kind, strict=False)
        except ValidationError as exc:
            reason = str(exc)
            yield UnreadableValue(path, f"{reason[:1].lower()}{reason[1:]}")
