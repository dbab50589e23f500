"""Steps for the admission of gang jobs."""

from behave import then, when
from behave.runner import Context

from geraniumwell.commands.gangs.admission import Admitted, admit


@when("admission decides on these gang jobs")
def step_admit(context: Context) -> None:
    world = context.gangs
    rows = [row.as_dict() for row in context.table]
    jobs = [world.make_job(row) for row in rows]
    view = world.view()
    context.admissions = [
        (row, admit(view, job, world.now)) for row, job in zip(rows, jobs, strict=True)
    ]


@then("each job gets the answer in its row")
def step_answers(context: Context) -> None:
    for row, answer in context.admissions:
        code = "admitted" if isinstance(answer, Admitted) else answer.code
        assert code == row["answer"], (row, answer)
