"""Run-time checks of invariants."""

from collections.abc import Callable

from geraniumwell.exceptions import InvariantError


def check_invariant(name: str, holds: bool, describe: Callable[[], str]) -> None:
    """Raise an error when an invariant does not hold.

    Parameters
    ----------
    name : str
        Name of the invariant.
    holds : bool
        Whether it holds.
    describe : callable
        Returns a description of the violation; called only if there is one.

    Raises
    ------
    InvariantError
        If ``holds`` is false.
    """
    if holds:
        return
    raise InvariantError(name, describe())
