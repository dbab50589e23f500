"""Encoding of job records and placements as rows of the platform's table."""

from msgspec import Struct

from geraniumwell.codec.json import decode_json, encode_json
from geraniumwell.model.job import Job, JobRecord
from geraniumwell.model.worker import TaskLease


class PlacedTask(Struct, frozen=True, array_like=True):
    """Place of one member; the rest of its lease follows from the job."""

    worker: str
    first_accelerator: int


class Placement(Struct, frozen=True):
    """Places of all members of one attempt, in order of the members."""

    attempt: int
    tasks: tuple[PlacedTask, ...]


class DeciderClaim(Struct, frozen=True):
    """Epoch of the decider that may write the job rows of a data centre."""

    epoch: int
    vm: str


def make_job_prefix(data_centre: str) -> str:
    """Return the prefix of the job rows of a data centre."""
    return f"job/{data_centre}/"


def make_job_key(data_centre: str, job_id: str) -> str:
    """Return the key of a job row."""
    return f"{make_job_prefix(data_centre)}{job_id}"


def make_placement_prefix(data_centre: str) -> str:
    """Return the prefix of the placement rows of a data centre."""
    return f"placement/{data_centre}/"


def make_placement_key(data_centre: str, job_id: str) -> str:
    """Return the key of a placement row."""
    return f"{make_placement_prefix(data_centre)}{job_id}"


def make_claim_key(data_centre: str) -> str:
    """Return the key of the row that names the epoch of the decider."""
    return f"decider/{data_centre}"


def make_external_change_key(data_centre: str) -> str:
    """Return the key of the row that others than the decider write with a job row.

    Its version tells the decider to read all job rows again. It shares the prefix of
    the claim, so that one small read a second covers both.
    """
    return f"{make_claim_key(data_centre)}/outside"


def make_lease_id(job_id: str, attempt: int, member: int) -> str:
    """Return the lease id of one member in one attempt of a job."""
    return f"{job_id}/{attempt}/{member}"


def make_lease(job: Job, attempt: int, member: int, task: PlacedTask) -> TaskLease:
    """Return the lease of one member at a place."""
    return TaskLease(
        lease_id=make_lease_id(job.job_id, attempt, member),
        job_id=job.job_id,
        attempt=attempt,
        member=member,
        worker=task.worker,
        first_accelerator=task.first_accelerator,
        accelerators=job.shape.accelerators,
        cores=job.shape.cores,
        memory_gb=job.shape.memory_gb,
    )


def encode_record(record: JobRecord) -> str:
    """Return the value of a job row."""
    return encode_json(record).decode()


def decode_record(value: str) -> JobRecord:
    """Return the record that a job row holds."""
    return decode_json(value, JobRecord)


def encode_placement(leases: tuple[TaskLease, ...]) -> str:
    """Return the value of a placement row; leases are in order of the members."""
    tasks = tuple(PlacedTask(ls.worker, ls.first_accelerator) for ls in leases)
    return encode_json(Placement(leases[0].attempt, tasks)).decode()


def decode_placement(value: str, job: Job) -> tuple[TaskLease, ...]:
    """Return the leases that a placement row stands for."""
    placement = decode_json(value, Placement)
    return tuple(
        make_lease(job, placement.attempt, member, task)
        for member, task in enumerate(placement.tasks)
    )


def encode_claim(claim: DeciderClaim) -> str:
    """Return the value of the row that names the epoch of the decider."""
    return encode_json(claim).decode()


def decode_claim(value: str) -> DeciderClaim:
    """Return the claim that the row holds."""
    return decode_json(value, DeciderClaim)
