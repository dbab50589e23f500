"""Steps for the metrics of a daemon."""

from behave import then, when
from behave.runner import Context
from prometheus_client import CollectorRegistry, generate_latest

from geraniumwell.helpers.metrics import Metrics
from geraniumwell.model.request import Answer, Outcome


@when("{count:d} answers of unknown classes and {known:d} of a known class are counted")
def step_count(context: Context, count: int, known: int) -> None:
    registry = CollectorRegistry()
    metrics = Metrics(registry)
    metrics.set_classes(["quote"])
    names = [f"class-{n}" for n in range(count)] + ["quote"] * known
    for number, name in enumerate(names):
        metrics.count_answer(name, Answer(f"r-{number}", Outcome.RAN, 200))
    context.rendered = generate_latest(registry).decode()


@then("the metrics hold one series for the known class and one for all others")
def step_series(context: Context) -> None:
    lines = [
        line
        for line in context.rendered.splitlines()
        if line.startswith("geraniumwell_requests_total{")
    ]
    assert sorted(lines) == [
        'geraniumwell_requests_total{class="other",outcome="ran"} 1000.0',
        'geraniumwell_requests_total{class="quote",outcome="ran"} 5.0',
    ], lines
