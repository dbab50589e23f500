"""Steps of the reports on the fleet; planning_steps.py sets up the cluster."""

from unittest.mock import patch

from behave import given, then, when
from behave.runner import Context

from geraniumwell.actors.batch.fleet_reporter import FleetReporter
from geraniumwell.helpers.batch_metrics import AVOIDED_WORKERS, SLOW_WORKERS
from geraniumwell.helpers.event_log import EventLog
from geraniumwell.model.batch.capacity import Pool


@given(
    'the worker "{slow}" is slow and the worker "{avoided}" is avoided until second'
    " {until:g}"
)
def step_state(context: Context, slow: str, avoided: str, until: float) -> None:
    context.cluster.fleet.pools["pool"] = Pool(slow_workers=frozenset({slow}))
    context.cluster.workers[avoided].avoid_until = until


@when('the fleet is reported at the seconds "{times}"')
def step_report(context: Context, times: str) -> None:
    reporter = FleetReporter()
    with patch.object(EventLog, "write") as write:
        for now in map(float, times.split()):
            reporter.report(context.cluster, now)
    context.events = [call.args[0] for call in write.call_args_list]


@then('the logged events are "{events}"')
def step_events(context: Context, events: str) -> None:
    assert context.events == events.split(), context.events


@then("{slow:d} worker counts as slow and {avoided:d} as avoided")
def step_gauges(context: Context, slow: int, avoided: int) -> None:
    assert SLOW_WORKERS._value.get() == slow
    assert AVOIDED_WORKERS._value.get() == avoided
