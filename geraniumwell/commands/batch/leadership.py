"""Decides which daemon schedules: a claimed row with an epoch and a counter."""

from dataclasses import dataclass

from geraniumwell.model.batch.leader import LeaderRow

# The holder stops giving orders this long after it sent its last renewal that the
# store confirmed.
HOLDER_VALID_SECONDS = 0.85
# Others wait longer before they claim, so that the holder has stopped by then.
CLAIM_AFTER_SECONDS = 1.1
RENEW_INTERVAL_SECONDS = 0.25
LEADER_WATCH_SECONDS = 0.25
# A weak VM leaves a free claim to a stronger one for this time, which is a little more
# than one look of the stronger one takes.
WEAK_DELAY_SECONDS = 0.35
# Before the first claim of a deployment no VM knows the others. A VM with one core
# waits this long, a stronger one less, and each one no longer than the limit.
FIRST_CLAIM_CORE_SECONDS = 1.0
FIRST_CLAIM_LIMIT_SECONDS = 3.0
# A VM with less than this share of the strongest one's processor counts as weak. The
# scheduling daemon needs several times the processor time of the others.
WEAK_SHARE = 0.5
# A weak VM that holds the claim looks for a stronger one this often. Each hand-over
# costs some half a second without starts.
HANDOVER_CHECK_SECONDS = 3.0
# Separates the name of a VM from that of its process.
PROCESS_MARK = "/"


@dataclass(slots=True)
class LeaderObservation:
    """What a daemon last saw of the leader row.

    Parameters
    ----------
    version : int
        Version of the row in the store; 0 while there is none.
    changed_at : float
        Time at which the answer came that first showed the present content. The
        content may be as new as that, so an earlier time would end the claim of a
        holder whose orders still count.
    """

    row: LeaderRow | None = None
    version: int = 0
    changed_at: float = 0.0
    is_read: bool = False


def record_leader_row(
    seen: LeaderObservation, row: LeaderRow | None, version: int, now: float
) -> None:
    """Note a reading of the leader row, whose answer came at ``now``."""
    if version != seen.version or not seen.is_read:
        seen.changed_at = now
    seen.row, seen.version, seen.is_read = row, version, True


def make_holder_id(vm: str, process: str) -> str:
    """Return the name under which a process of a VM claims."""
    return f"{vm}{PROCESS_MARK}{process}"


def find_claim_delay(seen: LeaderObservation, cores: float, best_cores: float) -> float:
    """Return how long a VM leaves a free claim to others, in seconds.

    Parameters
    ----------
    seen : LeaderObservation
        What was last seen of the leader row; without a row it is the first claim.
    cores, best_cores : float
        Processor of this VM and of the strongest known one, in cores.
    """
    if seen.row is None:
        return min(FIRST_CLAIM_CORE_SECONDS / cores, FIRST_CLAIM_LIMIT_SECONDS)
    return WEAK_DELAY_SECONDS if is_weak(cores, best_cores) else 0.0


def is_weak(cores: float, best_cores: float) -> bool:
    """Tell whether a VM leaves the schedule to one with more processor, if it can."""
    return cores < WEAK_SHARE * best_cores


def find_successors(cores: float, peers: dict[str, float]) -> list[str]:
    """Return the peers to which a weak VM hands the claim over, the strongest first.

    Parameters
    ----------
    cores : float
        Processor of the VM that holds the claim, in cores.
    peers : dict
        Processor of each other daemon's VM in cores, by its address.
    """
    strong = [name for name, other in peers.items() if is_weak(cores, other)]
    return sorted(strong, key=lambda name: (-peers[name], name))


def may_claim(
    seen: LeaderObservation, holder: str, now: float, delay: float = 0.0
) -> bool:
    """Tell whether the claim is free, or its holder has ended or fallen silent.

    Parameters
    ----------
    delay : float
        Time for which this daemon leaves a free claim to others, in seconds.
    """
    if seen.row is None or not seen.row.holder:
        return now - seen.changed_at >= delay
    vm, _, process = holder.partition(PROCESS_MARK)
    before, _, earlier = seen.row.holder.partition(PROCESS_MARK)
    # A VM runs one process, so the earlier one has ended.
    if vm == before and process != earlier:
        return True
    return now - seen.changed_at >= CLAIM_AFTER_SECONDS + delay


def make_claim(seen: LeaderObservation, holder: str) -> LeaderRow:
    """Return the row of a new holder."""
    if seen.row is None:
        return LeaderRow(holder, 1, 0, {})
    return LeaderRow(holder, seen.row.epoch + 1, 0, seen.row.pending)
