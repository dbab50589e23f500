"""Sizes and processing times of the configuration and of peer messages.

``python -m bench.configuration`` prints one figure per line, for a configuration of the
size expected in two years.
"""

from collections.abc import Callable
from dataclasses import replace
from statistics import median
from time import perf_counter

from geraniumwell.clients.platform import Row
from geraniumwell.codec.config import (
    HEAD_KEY,
    LOG_PREFIX,
    SNAPSHOT_KEY,
    decode_stored,
    encode_snapshot,
    make_change_transaction,
    make_version_key,
)
from geraniumwell.codec.json import decode_json, encode_json
from geraniumwell.codec.peer import decode_peer_request, encode_peer_message
from geraniumwell.commands.config.apply import apply_change, build_inverse_change
from geraniumwell.commands.config.validate import validate_change
from geraniumwell.messages.peer import ConfigurationRead, Heartbeat
from geraniumwell.model.change import ChangeRecord, SetGuarantee, SetOrganisation
from geraniumwell.model.config import (
    Configuration,
    Endpoint,
    Organisation,
    RequestClass,
    Service,
)
from geraniumwell.model.guarantee import Guarantee
from geraniumwell.model.job import SameRack, Shape
from geraniumwell.model.membership import MemberRow
from geraniumwell.model.worker import Worker

REPETITIONS = 30
DATA_CENTRES = 8
CHANGES_PER_DAY = 1_500


def build_configuration() -> Configuration:
    """Return a configuration of the size expected in two years, at version 64."""
    workers = {}
    for number in range(540):
        name, data_centre = f"worker-{number:03d}", f"dc-{number % DATA_CENTRES}"
        accelerators = 8 if number < 80 else 0
        rack = f"rack-{number % 64}"
        address = f"10.1.{number // 250}.{number % 250}:9090"
        workers[name] = Worker(name, data_centre, rack, address, accelerators, 32, 128)
    names = [f"team-{number:02d}" for number in range(88)]
    shape = Shape(1, 4, 4, 16, SameRack())
    guarantees = {
        f"rush-{index}": Guarantee(f"rush-{index}", name, f"dc-{index % 8}", shape)
        for index, name in enumerate(names)
    }
    services = {
        f"service-{n}": Service(f"service-{n}", make_endpoints(n)) for n in "ab"
    }
    classes = {f"class-{n}": RequestClass(f"class-{n}", n, 500, 90) for n in range(8)}
    organisations = {name: Organisation(name, 1.0, 64) for name in names}
    return Configuration(64, organisations, classes, services, workers, guarantees)


def make_endpoints(service: str) -> tuple[Endpoint, ...]:
    """Return 24 endpoints of a service."""
    return tuple(
        Endpoint(f"run-{service}{n}", f"dc-{n % 8}", f"10.2.0.{n}:8080", 8, 64)
        for n in range(24)
    )


def make_rows(cfg: Configuration) -> tuple[Row, ...]:
    """Return the rows of a table with a snapshot and a log of the greatest length."""
    recent_commands = {f"ana:{n:016x}": n for n in range(256)}
    rows = [Row(SNAPSHOT_KEY, 1, encode_snapshot(cfg, recent_commands))]
    for _ in range(127):
        change = SetOrganisation(Organisation(f"team-{cfg.version % 88:02d}", 2.0))
        record = make_record(cfg, change)
        key = make_version_key(LOG_PREFIX, record.version)
        rows.append(Row(key, 1, encode_json(record).decode()))
        cfg = apply_change(cfg, change)
    return (Row(HEAD_KEY, 1, f'{{"version":{cfg.version}}}'), *rows)


def make_record(cfg: Configuration, change: SetOrganisation) -> ChangeRecord:
    """Return the record of a change."""
    return ChangeRecord(
        cfg.version + 1,
        change,
        "ana",
        1_796_342_400.0,
        "the contract was extended until the end of the season",
        "ana:4f1c9a0d7be25a13",
        build_inverse_change(cfg, change),
    )


def measure_ms(call: Callable[[], object]) -> float:
    """Return the median time of a call in milliseconds."""
    times = []
    for _ in range(REPETITIONS):
        start = perf_counter()
        call()
        times.append((perf_counter() - start) * 1000)
    return median(times)


def print_figure(name: str, value: float, unit: str) -> None:
    """Print one figure."""
    print(f"{name}: {value:.3g} {unit}")


def print_message_figures(cfg: Configuration) -> None:
    """Print sizes and times of peer messages in both encodings."""
    last_counters = {f"vm-{n}": 1_796_342_400_000 + n for n in range(5)}
    row = MemberRow("vm-9", "4f1c9a0d", 1_796_342_400_000, 12, 64, False, last_counters)
    heartbeat = Heartbeat(row, "dc-0")
    packed_bytes, json_bytes = encode_peer_message(heartbeat), encode_json(heartbeat)
    print_figure("heartbeat as MessagePack", len(packed_bytes), "bytes")
    print_figure("heartbeat as JSON", len(json_bytes), "bytes")
    packed_ms = measure_ms(lambda: decode_peer_request(encode_peer_message(heartbeat)))
    json_ms = measure_ms(lambda: decode_json(encode_json(heartbeat), Heartbeat))
    print_figure(
        "heartbeat both ways, MessagePack to JSON", packed_ms / json_ms, "(ratio)"
    )
    response = encode_peer_message(ConfigurationRead(cfg))
    print_figure("configuration to a peer", len(response) / 1000, "kB")


def main() -> None:
    """Print all figures."""
    cfg = build_configuration()
    rows = make_rows(cfg)
    change = SetOrganisation(Organisation("team-07", 2.0))
    transaction = make_change_transaction(cfg, make_record(cfg, change), 1, {})
    change_bytes = sum(len(put.value) for put in transaction.puts)
    print_figure("snapshot", len(rows[1].value) / 1000, "kB")
    print_figure("rows of one change", change_bytes, "bytes")
    print_figure("range read of a new VM", sum(len(r.value) for r in rows) / 1000, "kB")
    daily_bytes = CHANGES_PER_DAY * change_bytes + CHANGES_PER_DAY / 64 * len(
        rows[1].value
    )
    print_figure("written by all changes of a day", daily_bytes / 86_400, "bytes/s")
    print_figure(
        "decode of that range read", measure_ms(lambda: decode_stored(rows)), "ms"
    )
    print_figure("apply", measure_ms(lambda: apply_change(cfg, change)), "ms")
    guarantee = replace(cfg.guarantees["rush-3"], shape=Shape(1, 2, 4, 16, SameRack()))
    set_guarantee = SetGuarantee(guarantee)
    print_figure(
        "validate", measure_ms(lambda: validate_change(cfg, set_guarantee, 0.0)), "ms"
    )
    print_message_figures(cfg)


if __name__ == "__main__":
    main()
