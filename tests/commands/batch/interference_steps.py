"""Steps of interference; planning_steps.py sets up some of the clusters."""

from math import log
from random import Random

from behave import given, then, when
from behave.runner import Context

from geraniumwell.actors.batch.row_applier import RowApplier
from geraniumwell.clients.table import StoredRow
from geraniumwell.codec.interference import encode_interference
from geraniumwell.commands.batch.evidence import (
    add_evidence,
    add_sample,
)
from geraniumwell.commands.batch.interference import (
    observe_report,
    refresh_interference,
)
from geraniumwell.commands.batch.kinds import KIND_BYTES_LIMIT, find_kind
from geraniumwell.commands.batch.speeds import derive_speeds, drop_old_samples
from geraniumwell.const import INTERFERENCE_KEY
from geraniumwell.model.batch.cluster import Cluster, StartTask
from geraniumwell.model.batch.interference import TailSample
from geraniumwell.model.batch.job import StepSpec
from geraniumwell.model.batch.resources import Resources
from geraniumwell.model.batch.speed import RateSample
from geraniumwell.model.batch.speed import add_sample as add_rate_sample
from geraniumwell.model.batch.worker import RunningTask, WorkerReport
from geraniumwell.queries.batch.interference import show_interference
from tests.support.batch import (
    WALL,
    list_tasks,
    make_cluster,
    make_job,
    make_step,
    report,
    run_plan,
    start_on,
    submit,
)

PAIR = ("a", "b", False)
TASKS_PER_WORKER = 8
ROUND_SECONDS = 10


def list_known(context: Context) -> list[str]:
    pairs = context.cluster.interference.pairs
    return sorted(" ".join(pair[:2]) for pair, found in pairs.items() if found.is_known)


@when(
    'runs of "a" beside "b" take {factor:g} times as long, by "{liar}" 4 times, with'
    " a chance of {chance:g} that a worker is slowed, for {seconds:d} seconds from seed"
    " {seed:d}"
)
def step_samples(
    context: Context, factor: float, liar: str, chance: float, seconds: int, seed: int
) -> None:
    """Report runs of four kinds on workers of which a quarter is slow.

    Each second, a worker is slowed 3 times for 4 to 10 s with the probability
    ``chance``.
    """
    names = list(context.cluster.workers)
    slow = names[: len(names) // 4]
    slowed_until = dict.fromkeys(names, 0.0)
    rng, index = Random(seed), context.cluster.speeds
    for now in range(1, seconds + 1):
        for name in names if chance else ():
            if now >= slowed_until[name] and rng.random() < chance:
                slowed_until[name] = now + rng.uniform(4, 10)
        if now % ROUND_SECONDS == 1:
            placed = {name: rng.choices("abcd", k=TASKS_PER_WORKER) for name in names}
        for name, kinds in placed.items():
            for number, kind in enumerate(kinds):
                others = frozenset(kinds[:number] + kinds[number + 1 :])
                is_beside = "b" in others
                log_ms = rng.uniform(-0.25, 0.25) + log(2.2 if name in slow else 1)
                log_ms += log(7) if rng.random() < 0.03 else 0
                log_ms += log(factor) if kind == "a" and is_beside else 0
                log_ms += log(3) if now < slowed_until[name] else 0
                log_ms += log(4) if name == liar and is_beside else 0
                key = (f"{kind}{now // ROUND_SECONDS}", 0, 0)
                sample = RateSample(key, name, log_ms, now, kind, others)
                if rng.random() < 1 / ROUND_SECONDS:
                    add_rate_sample(index, sample)
                    context.cluster.interference.new_rates.append(sample)
        drop_old_samples(index, now)
        derive_speeds(index)
        refresh_interference(context.cluster, now)


@then('the pairs that became known are "{names}"')
@then('the pairs that became known are ""')
def step_known(context: Context, names: str = "") -> None:
    changes = context.cluster.interference.changes
    found = {" ".join(change.pair[:2]) for change in changes if change.is_known}
    assert found == ({names} if names else set()), found


@when(
    'tails beside "f" on {place} workers are times {factors} for {seconds:d} seconds'
    ' each, those of "{liars}" times {wrong:g}'
)
def step_tails(
    context: Context, place: str, factors: str, seconds: int, liars: str, wrong: float
) -> None:
    rng, now, context.states = Random(1), 0, []
    table = context.cluster.interference
    for factor in map(float, factors.split()):
        for _ in range(seconds):
            now += 1
            for number, name in enumerate(context.cluster.workers):
                is_liar = name in liars.split()
                is_beside = is_liar if place == "these" else (number + now // 5) % 2
                share = log(0.5 * (wrong if is_liar else 1))
                share += log(factor) if is_beside else 0
                share += rng.uniform(-0.25, 0.25)
                others = frozenset({"f" if is_beside else "g"})
                table.new_tails.append(TailSample("web", name, others, share, now))
            refresh_interference(context.cluster, now)
        context.states.append("yes" if list_known(context) == ["web f"] else "no")


@then('the pair "web f" was known at the end as "{states}"')
def step_states(context: Context, states: str) -> None:
    assert context.states == states.split(), context.states


@when("evidence of {count:d} pairs of {kinds:d} kinds arrives")
def step_many_pairs(context: Context, count: int, kinds: int) -> None:
    table, rng = context.cluster.interference, Random(1)
    for number in range(count):
        pair = (f"k{rng.randrange(kinds)}", f"k{rng.randrange(kinds)}", False)
        add_evidence(table, {pair: {"w1": [0.5]}}, number / 100)
        refresh_interference(context.cluster, number / 100)


@then(
    "the table has at most {pairs:d} pairs of at most {kinds:d} kinds, and none an"
    " hour later"
)
def step_bounds(context: Context, pairs: int, kinds: int) -> None:
    found = context.cluster.interference.pairs
    assert 0 < len(found) <= pairs
    assert len({kind for pair in found for kind in pair[:2]}) <= kinds
    spec = make_job("long", make_step(image="é" * 100))
    assert len(find_kind(spec, 0).encode()) <= KIND_BYTES_LIMIT
    refresh_interference(context.cluster, 3700)
    assert not found


@given('a job "x" of the image "a" and a job "y" of the image "b"')
def step_images(context: Context) -> None:
    for name, image in (("x", "a"), ("y", "b")):
        submit(context.cluster, make_job(name, make_step(image=image)))


@when("the jobs report 1 and {usage} at 5, 30 and 60 percent")
def step_report_usage(context: Context, usage: str) -> None:
    usages = {"x": 1000, "y": None if usage == "None" else int(usage)}
    for now, percent in ((2.0, 5), (3.0, 30), (4.0, 60)):
        running = tuple(
            RunningTask(task.id, task.run, "", percent, usages[task.id.job])
            for name in usages
            for task in list_tasks(context.cluster, name)
        )
        report(context.cluster, "w1", now, running)


@then('the rate of "x" was measured beside "{names}"')
@then('the rate of "x" was measured beside ""')
def step_measured(context: Context, names: str = "") -> None:
    samples = context.cluster.speeds.samples
    (sample,) = [sample for sample in samples["w1"] if sample.step[0] == "x"]
    assert (sample.kind, set(sample.neighbours)) == ("a", set(names.split())), sample


@given('a task of the image "b" on the worker "w1", of "c" on the others, and "a b"')
def step_opponents(context: Context) -> None:
    cluster = context.cluster
    for name in cluster.workers:
        step = make_step(image="b" if name == "w1" else "c")
        start_on(cluster, make_job(f"of-{name}", step), name)
    for worker in ("w1", "w2", "w3") * 6:
        for measured_at in (-13.0, 3.0):
            add_sample(cluster.interference, PAIR, worker, 0.7, measured_at)
    run_plan(cluster, 3.0)
    assert list_known(context) == ["a b"]
    # Placement in the same round already depends on the counted kinds.
    assert cluster.fleet.capacities["w1"].kinds == {"b": 1}


@when('{count:d} tasks of the image "a" are placed')
def step_place(context: Context, count: int) -> None:
    submit(context.cluster, make_job("a", make_step(count, image="a")))
    context.orders = [
        order for now in (4.0, 70.0) for order in run_plan(context.cluster, now)
    ]


@when('a task of "a" and then one of "b" are placed in one round')
def step_place_two(context: Context) -> None:
    for name in "ab":
        submit(context.cluster, make_job(name, make_step(image=name)))
    context.orders = run_plan(context.cluster, 4.0)


@then('they are started on "{names}"')
def step_workers(context: Context, names: str) -> None:
    found = [order.worker for order in context.orders]
    assert found == names.split(), found


@when('"x" of the image "web" reports a tail beside "y" of the image "b"')
def step_report_tail(context: Context) -> None:
    cluster = context.cluster
    steps = make_step(image="web", target_ms=100), make_step(image="b")
    tasks = [
        start_on(cluster, make_job(name, step), "w1")
        for name, step in zip("xy", steps, strict=True)
    ]
    running = tuple(RunningTask(t.id, t.run, "", 50, 200) for t in tasks)
    observe_report(
        cluster, cluster.workers["w1"], WorkerReport(3000, running, (), 1, False), 2.0
    )


@then('the tail of "web" is {share:g} of the target beside "b"')
def step_tail(context: Context, share: float) -> None:
    expected = TailSample("web", "w1", frozenset({"b"}), log(share), 2.0)
    assert list(context.cluster.interference.new_tails) == [expected]


@when('"web" with the known pair "web f" has tails beside "f" and "g" and beside "f"')
def step_both(context: Context) -> None:
    """Report tails that double beside "f", which is on most workers with "g"."""
    rng, table = Random(1), context.cluster.interference
    known = {"w1": [0.7], "w2": [0.7], "w3": [0.7]}
    for now in range(60):
        if now < 10:
            add_evidence(table, {("web", "f", True): known}, now)
        for number, name in enumerate(context.cluster.workers):
            # Without "g", "f" comes in one of three cases.
            phase = (number + now // 3) % 4
            others = frozenset(("", "fg", "fg", "fg")[phase])
            share = log(0.5) + (log(2) if phase else 0) + rng.uniform(-0.1, 0.1)
            table.new_tails.append(TailSample("web", name, others, share, now))
        refresh_interference(context.cluster, now)


@then('all {count:d} are started, and {beside:d} of them on "w1"')
def step_placed(context: Context, count: int, beside: int) -> None:
    found = [order.worker for order in context.orders if isinstance(order, StartTask)]
    assert (len(found), found.count("w1")) == (count, beside), found


@given('over half of the accelerators and most cores of "w1" are in use')
def step_busy(context: Context) -> None:
    for name, millis in (("w1", 14_000), ("w2", 0)):
        step = StepSpec(1, Resources(millis, 1000, 5), estimate_seconds=2.0)
        start_on(context.cluster, make_job(f"busy-{name}", step), name)


@when('a task of "a" without accelerators is placed, and one that fits on "w2" only')
def step_place_without(context: Context) -> None:
    for name, millis, image in (("small", 1000, "a"), ("large", 15_000, "d")):
        step = StepSpec(1, Resources(millis, 1000, 0), 2.0, image=image)
        submit(context.cluster, make_job(name, step))
        context.orders = run_plan(context.cluster, 4.0)


@then("the latter is started")
def step_latter(context: Context) -> None:
    assert [order.worker for order in context.orders] == ["w2"], context.orders


def place_jobs(has_evidence: bool) -> list[StartTask]:
    """Return the starts of jobs of many sizes and images."""
    rng, cluster = Random(1), make_cluster("r1 r1 r2 r2 r3 r3")
    images = [f"k{number}" for number in range(8)]
    if has_evidence:
        for pair in [(kind, other, False) for kind in images for other in images]:
            for worker in ("w1", "w2", "w3"):
                add_sample(cluster.interference, pair, worker, 0, 0.1)
    found = []
    for number in range(30):
        step = make_step(
            rng.randint(1, 4),
            rng.randint(0, 3),
            image=rng.choice(images),
            is_gang=rng.random() < 0.5,
        )
        submit(cluster, make_job(f"j{number}", step))
        found += run_plan(cluster, 1.0 + number // 3)
    return found


@when("30 jobs of 8 images are placed with and without evidence that no pair disturbs")
def step_place_both(context: Context) -> None:
    context.placements = place_jobs(has_evidence=True), place_jobs(has_evidence=False)


@then("both placements are equal")
def step_same(context: Context) -> None:
    found, expected = context.placements
    assert len(expected) > 20
    assert found == expected


@given("a new scheduler has restored the table {seconds:g} seconds later")
def step_takeover(context: Context, seconds: float) -> None:
    cluster: Cluster = context.cluster
    data = encode_interference(cluster.interference, 3.0, WALL)
    cluster.interference = type(cluster.interference)()
    rows = (StoredRow("gw-control", INTERFERENCE_KEY, data, 1),)
    applier = RowApplier(cluster, decode_entry=None)
    applier.restore_interference(rows, 3.0, WALL + seconds)
    for name in cluster.workers:
        cluster.mark_worker_changed(name)


@then('operators see "{cells}" with an age of {age:g} seconds')
def step_shown_row(context: Context, cells: str, age: float) -> None:
    (row,) = show_interference(context.cluster.interference, 3.0).rows
    assert list(row.values())[:4] == cells.split(), row
    assert row["age"] == age, row
