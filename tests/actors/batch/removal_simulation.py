"""Simulation of acceptance, removal and takeover with random faults of the store."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from random import Random

from geraniumwell.actors.batch.commit_state import (
    CANCEL_SUFFIX,
    CommitState,
    begin_transaction,
    confirm_transaction,
    find_committed_version,
    list_uncommitted_jobs,
    make_commit_state,
)
from geraniumwell.actors.batch.job_store import JobCallOutcome, JobStore
from geraniumwell.actors.batch.job_sweeper import remove_job_rows
from geraniumwell.actors.batch.row_applier import RowApplier
from geraniumwell.clients.table import (
    HistoryCompactedError,
    RowRange,
    StoreError,
    merge_ranges,
    read_all,
)
from geraniumwell.clients.table_relay import StoreHealth
from geraniumwell.codec.batch import (
    encode_leader,
    find_job_partition,
)
from geraniumwell.commands.batch.lifecycle import (
    end_job,
    mark_job_begun,
    mark_job_unsaved,
)
from geraniumwell.commands.batch.retention import record_removals, request_removals
from geraniumwell.const import (
    JOB_PARTITIONS,
    LEADER_KEY,
    PARTITION_SCHEDULE,
    TABLE_CONTROL,
    TABLE_JOBS,
    TABLE_PROGRESS,
)
from geraniumwell.messages.batch import LeaderClaim
from geraniumwell.model.batch.cluster import BatchPolicy, Cluster
from geraniumwell.model.batch.job import ENDED_STATES, Job, JobState
from geraniumwell.model.batch.leader import LeaderRow
from geraniumwell.model.batch.removal import ExpiredJob
from tests.support.batch import WALL, make_job, make_step, make_test_catalog
from tests.support.memory_table import MemoryTable

STEP_SECONDS = 0.05
FAULTY_SECONDS = 60.0
CALM_SECONDS = 60.0
RETENTION_SECONDS = 2.0
QUEUE = "renders"
# The same few ids are used again and again.
JOB_IDS = tuple(f"{number:016x}" for number in range(12))


@dataclass(slots=True)
class SimulatedLeader:
    """A scheduler whose actors take turns in random order.

    Parameters
    ----------
    reading : iterator or None
        A complete read of the job table that is not finished; it yields the partitions.
    found : list of RowRange
        Partitions that it has read so far.
    progress : RowRange or None
        The stored progress, once the load of a new scheduler has read it.
    after : int
        Version of the store from which the feed continues.
    sent_begun, sent_ended : set
        Jobs that the transaction in flight stores as begun, or as ended.
    requests : list
        The request for removals that is not executed yet, if any.
    """

    cluster: Cluster
    commits: CommitState
    applier: RowApplier
    reading: Iterator[RowRange] | None
    found: list[RowRange] = field(default_factory=list)
    progress: RowRange | None = None
    after: int = 0
    sent_begun: set[tuple[str, int]] = field(default_factory=set)
    sent_ended: set[tuple[str, int]] = field(default_factory=set)
    is_loaded: bool = False
    requests: list[tuple[ExpiredJob, ...]] = field(default_factory=list)


@dataclass(slots=True)
class RemovalSimulation:
    """Clients, the present leader, and former ones that have not noticed it.

    Parameters
    ----------
    accepted, begun, ended : set
        Ids and row versions of the jobs whose acceptance, first start or end is stored.
    cancelled : dict
        For each id, the version of the store at the last acknowledged cancellation, and
        its time.
    starts, reuses : int
        Number of starts of jobs, and of those under an id that was used before.
    """

    random: Random
    table: MemoryTable = field(default_factory=MemoryTable)
    leaders: list[SimulatedLeader] = field(default_factory=list)
    accepted: set[tuple[str, int]] = field(default_factory=set)
    begun: set[tuple[str, int]] = field(default_factory=set)
    ended: set[tuple[str, int]] = field(default_factory=set)
    cancelled: dict[str, tuple[int, float]] = field(default_factory=dict)
    starts: int = 0
    reuses: int = 0
    epoch: int = 0
    now: float = 0.0
    is_faulty: bool = True

    def run(self) -> None:
        """Run with faults, then without them until nothing may be left."""
        self._take_over()
        while self.now < FAULTY_SECONDS:
            self._step()
        self.is_faulty = False
        self.table.execute_delayed()
        while self.now < FAULTY_SECONDS + CALM_SECONDS:
            self._step()
        left = [
            *self.table.list_keys(TABLE_JOBS),
            *self.table.list_keys(TABLE_PROGRESS),
        ]
        assert not left, left
        assert self.accepted <= self.ended, self.accepted - self.ended
        (leader,) = self.leaders
        assert not leader.cluster.jobs, leader.cluster.jobs.keys()
        assert not leader.cluster.removals.removed, leader.cluster.removals
        assert not leader.cluster.removals.requested, leader.cluster.removals
        assert not leader.cluster.cancellations

    def _step(self) -> None:
        self.now += STEP_SECONDS
        actions: list[Callable[[], None]] = []
        for leader in list(self.leaders):
            actions += [
                lambda leader=leader: self._feed(leader),
                lambda leader=leader: self._commit(leader),
                lambda leader=leader: self._sweep(leader),
                lambda leader=leader: self._work(leader),
            ]
        self.random.shuffle(actions)
        for action in actions:
            action()
        if not self.is_faulty:
            return
        if self.random.random() < 0.2:
            self._submit()
        if self.random.random() < 0.1:
            self._cancel()
        if self.random.random() < 0.03:
            self._cancel_by_older_version()
        if self.random.random() < 0.05:
            self.table.execute_delayed()
        if self.random.random() < 0.04:
            self.table.compact()
        if self.random.random() < 0.01:
            self._take_over()

    def _choose_fault(self, part: str) -> None:
        """Choose the fault of the next transaction of a partition."""
        table = self.table
        for parts in (table.refused_parts, table.lossy_parts, table.delayed_parts):
            parts.clear()
        if self.is_faulty and self.random.random() < 0.4:
            kinds = (table.refused_parts, table.lossy_parts, table.delayed_parts)
            self.random.choice(kinds).add(part)

    def _submit(self) -> None:
        spec = make_job(self.random.choice(JOB_IDS), make_step(), queue=QUEUE)
        self._choose_fault(find_job_partition(spec.id))
        result = JobStore(lambda: self.table, StoreHealth()).submit(spec)
        if result.code is JobCallOutcome.ACCEPTED:
            row = self.table.find(TABLE_JOBS, find_job_partition(spec.id), spec.id)
            assert row is not None
            self.accepted.add((spec.id, row.version))

    def _cancel(self) -> None:
        job_id = self.random.choice(JOB_IDS)
        self._choose_fault(find_job_partition(job_id))
        store = JobStore(lambda: self.table, StoreHealth())
        result = store.cancel(job_id, QUEUE, WALL + self.now)
        if result.code in (JobCallOutcome.CANCELLED, JobCallOutcome.NO_JOB):
            self.cancelled[job_id] = (self.table.version, self.now)

    def _cancel_by_older_version(self) -> None:
        """Store a cancellation whether there is a job or not."""
        job_id = self.random.choice(JOB_IDS)
        part = find_job_partition(job_id)
        self.table.put(TABLE_JOBS, part, job_id + CANCEL_SUFFIX, b"x")
        # It holds no time, so that it is removed at once if there is no job.
        self.cancelled.pop(job_id, None)

    def _take_over(self) -> None:
        # A claim is taken only once its holder may send no more orders.
        for former in self.leaders:
            former.commits.valid_until = self.now
        self.epoch += 1
        row = LeaderRow(f"d{self.epoch}/1", self.epoch, 0, {})
        version = self.table.put(
            TABLE_CONTROL, PARTITION_SCHEDULE, LEADER_KEY, encode_leader(row)
        )
        policy = BatchPolicy(result_seconds=RETENTION_SECONDS)
        cluster = Cluster(self.epoch, policy, make_test_catalog())
        commits = make_commit_state(LeaderClaim(row, version, self.now))
        applier = RowApplier(cluster, decode_entry=None)
        leader = SimulatedLeader(cluster, commits, applier, self._read_partitions())
        # The former leader notices at its next transaction; one before it has ended.
        self.leaders = [*self.leaders[-1:], leader]

    def _read_partitions(self) -> Iterator[RowRange]:
        for part in self.random.sample(JOB_PARTITIONS, len(JOB_PARTITIONS)):
            yield read_all(self.table, TABLE_JOBS, part)

    def _feed(self, leader: SimulatedLeader) -> None:
        """Continue a complete read, or read the changes."""
        if leader.reading is not None:
            for _ in range(self.random.randint(0, 6)):
                if (part := next(leader.reading, None)) is None:
                    self._finish_read(leader)
                    return
                leader.found.append(part)
                if leader.progress is None and self.random.random() < 0.3:
                    leader.progress = self._read_progress()
            return
        try:
            changes = self.table.watch(TABLE_JOBS, leader.after, 0.0)
        except HistoryCompactedError:
            leader.reading, leader.found = self._read_partitions(), []
            return
        leader.after = max(leader.after, changes.version)
        leader.applier.apply_jobs(changes.rows, self.now, WALL + self.now)

    def _read_progress(self) -> RowRange:
        return read_all(self.table, TABLE_PROGRESS, PARTITION_SCHEDULE)

    def _finish_read(self, leader: SimulatedLeader) -> None:
        found = merge_ranges(leader.found)
        leader.reading, leader.after = None, found.version
        now, wall_now = self.now, WALL + self.now
        if leader.is_loaded:
            leader.applier.apply_all_jobs(found.rows, now, wall_now)
            return
        progress = leader.progress or self._read_progress()
        leader.applier.restore_jobs(found.rows, progress.rows, now)
        # A transaction whose response was lost may have stored more than was confirmed.
        restored = leader.cluster.jobs.values()
        self.begun |= {make_key(job) for job in restored if job.has_begun}
        self.ended |= {make_key(job) for job in restored if job.state in ENDED_STATES}
        leader.applier.apply_all_jobs(found.rows, now, wall_now)
        leader.is_loaded = True

    def _commit(self, leader: SimulatedLeader) -> None:
        state, cluster = leader.commits, leader.cluster
        if state.in_flight is None:
            begin_transaction(state, cluster, self.now, WALL + self.now)
            jobs = [cluster.jobs[i] for i in state.in_flight.jobs & cluster.jobs.keys()]
            leader.sent_begun = {make_key(job) for job in jobs if job.has_begun}
            leader.sent_ended = {
                make_key(job) for job in jobs if job.state in ENDED_STATES
            }
        in_flight = state.in_flight
        assert in_flight is not None
        self._choose_fault(PARTITION_SCHEDULE)
        try:
            result = self.table.commit(in_flight.transaction)
        except StoreError:
            return
        version = find_committed_version(state, result)
        if version is None:
            self.leaders.remove(leader)
            return
        confirm_transaction(state, cluster, version)
        self.begun |= leader.sent_begun
        self.ended |= leader.sent_ended

    def _sweep(self, leader: SimulatedLeader) -> None:
        """Request removals, or execute the ones that were requested."""
        if not leader.is_loaded:
            return
        if leader.requests and self.random.random() < 0.5:
            (jobs,) = leader.requests
            leader.requests = []
            removed: list[str] = []
            for job in jobs:
                self._choose_fault(find_job_partition(job.id))
                removed += remove_job_rows(self.table, (job,))
            record_removals(leader.cluster, removed, self.now)
        elif not leader.requests and self.now < leader.commits.valid_until:
            uncommitted = list_uncommitted_jobs(leader.commits)
            wall_now = WALL + self.now
            jobs = request_removals(leader.cluster, uncommitted, self.now, wall_now)
            if jobs:
                leader.requests.append(jobs)

    def _work(self, leader: SimulatedLeader) -> None:
        """Start and end the tasks of some jobs."""
        if not leader.is_loaded or self.now >= leader.commits.valid_until:
            return
        for job in leader.cluster.jobs.values():
            if self.random.random() < 0.02:
                # A late report of a worker.
                mark_job_unsaved(leader.cluster, job.spec.id)
            if job.state in ENDED_STATES or self.random.random() < 0.8:
                continue
            key = make_key(job)
            if not job.has_begun:
                assert key not in self.begun | self.ended, f"{key} starts again"
                self._check_not_cancelled(key)
                self.starts += 1
                self.reuses += any(job_id == key[0] for job_id, _ in self.ended)
                mark_job_begun(leader.cluster, job.spec.id)
                mark_job_unsaved(leader.cluster, job.spec.id)
            else:
                end_job(leader.cluster, job, JobState.DONE, WALL + self.now)

    def _check_not_cancelled(self, key: tuple[str, int]) -> None:
        """Check that a job that starts was not stored after its cancellation.

        The cancellation is kept for twice the retention time.
        """
        job_id, version = key
        if job_id not in self.cancelled:
            return
        cancelled_version, at = self.cancelled[job_id]
        if self.now <= at + 2 * RETENTION_SECONDS:
            assert version <= cancelled_version, f"{key} was cancelled and starts"


def make_key(job: Job) -> tuple[str, int]:
    """Return the id of a job and the version of its row."""
    return job.spec.id, job.version
