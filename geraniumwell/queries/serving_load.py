"""Queries about the endpoints and the load on them."""

from geraniumwell.model.config import Configuration, Endpoint
from geraniumwell.model.serving import ServingState


def count_in_flight(state: ServingState, now: float) -> dict[str, int]:
    """Return the slots in use by endpoint, including those held for lost attempts."""
    return {
        name: len(ep.attempts) + sum(1 for until in ep.held_until if until > now)
        for service in state.services.values()
        for name, ep in service.endpoints.items()
    }


def list_endpoints(cfg: Configuration, data_centre: str) -> frozenset[Endpoint]:
    """Return all endpoints of a data centre."""
    return frozenset(
        endpoint
        for service in cfg.services.values()
        for endpoint in service.endpoints
        if endpoint.data_centre == data_centre
    )
