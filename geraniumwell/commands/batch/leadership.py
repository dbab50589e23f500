"""Decides which daemon schedules batch jobs, by a leader claim in the store."""

from dataclasses import dataclass

from geraniumwell.model.batch.leader import LeaderRow

# Time after sending its last confirmed renewal for which a holder may send orders.
HOLDER_VALID_SECONDS = 0.85
# Time after which another daemon may take over an unchanged claim. It is longer than
# the time above, so that the holder has stopped sending orders by then.
CLAIM_AFTER_SECONDS = 1.1
RENEW_INTERVAL_SECONDS = 0.25
LEADER_WATCH_SECONDS = 0.25
# Time by which a low-CPU VM delays its claim, so that a stronger one can claim first.
# It is a little longer than one read of the row by the stronger one takes.
LOW_CPU_CLAIM_DELAY_SECONDS = 0.35
# Before the first claim of a deployment no VM knows the others. The delay is this time
# divided by the number of cores of the VM, up to the limit.
FIRST_CLAIM_CORE_SECONDS = 1.0
FIRST_CLAIM_LIMIT_SECONDS = 3.0
# A VM with less than this share of the strongest one's cores counts as a low-CPU VM.
# The scheduling daemon needs several times the processor time of the others.
LOW_CPU_SHARE = 0.5
# Interval in which a low-CPU VM that holds the claim searches for a stronger one. Each
# handover costs about half a second without starts.
HANDOVER_CHECK_SECONDS = 3.0
# Separates the name of the VM from that of its process in the id of a holder.
HOLDER_SEPARATOR = "/"


@dataclass(slots=True)
class LeaderObservation:
    """The leader row as last read by this daemon.

    Parameters
    ----------
    version : int
        Version of the row in the store; 0 if it does not exist.
    changed_at : float
        Time at which the response with the current content first arrived. The content
        may have been written just before that, so an earlier time would let another
        daemon claim while orders of the holder are still valid.
    is_read : bool
        Whether the row has been read at all.
    """

    row: LeaderRow | None = None
    version: int = 0
    changed_at: float = 0.0
    is_read: bool = False


def record_leader_row(
    observation: LeaderObservation, row: LeaderRow | None, version: int, now: float
) -> None:
    """Record a read of the leader row whose response arrived at ``now``."""
    if version != observation.version or not observation.is_read:
        observation.changed_at = now
    observation.row, observation.version, observation.is_read = row, version, True


def make_holder_id(vm: str, process: str) -> str:
    """Return the holder id of a process of a VM."""
    return f"{vm}{HOLDER_SEPARATOR}{process}"


def find_claim_delay(
    observation: LeaderObservation, cores: float, best_cores: float
) -> float:
    """Return the time by which a VM delays its claim, in seconds.

    Parameters
    ----------
    observation : LeaderObservation
        The leader row as last read; without a row it is the first claim.
    cores, best_cores : float
        Processor cores of this VM and of the strongest known one.
    """
    if observation.row is None:
        return min(FIRST_CLAIM_CORE_SECONDS / cores, FIRST_CLAIM_LIMIT_SECONDS)
    return LOW_CPU_CLAIM_DELAY_SECONDS if is_low_cpu(cores, best_cores) else 0.0


def is_low_cpu(cores: float, best_cores: float) -> bool:
    """Return whether a VM should leave the leader claim to a VM with more cores."""
    return cores < LOW_CPU_SHARE * best_cores


def find_handover_targets(cores: float, peers: dict[str, float]) -> list[str]:
    """Return the peers to which a low-CPU VM hands the claim over, the strongest first.

    Parameters
    ----------
    cores : float
        Processor cores of the VM that holds the claim.
    peers : dict
        Processor cores of the VM of each peer, by address of the peer.
    """
    targets = [name for name, other in peers.items() if is_low_cpu(cores, other)]
    return sorted(targets, key=lambda name: (-peers[name], name))


def may_claim(
    observation: LeaderObservation, holder: str, now: float, delay: float = 0.0
) -> bool:
    """Return whether the claim is free or expired, or its holder has been restarted.

    Parameters
    ----------
    delay : float
        Time by which this daemon delays its claim, in seconds.
    """
    if observation.row is None or not observation.row.holder:
        return now - observation.changed_at >= delay
    vm, _, process = holder.partition(HOLDER_SEPARATOR)
    holder_vm, _, holder_process = observation.row.holder.partition(HOLDER_SEPARATOR)
    # Each VM runs one process, so the holder's process has ended.
    if vm == holder_vm and process != holder_process:
        return True
    return now - observation.changed_at >= CLAIM_AFTER_SECONDS + delay


def make_claim(observation: LeaderObservation, holder: str) -> LeaderRow:
    """Return the leader row for a new holder, with the next epoch."""
    if observation.row is None:
        return LeaderRow(holder, 1, 0, {})
    return LeaderRow(holder, observation.row.epoch + 1, 0, observation.row.pending)
