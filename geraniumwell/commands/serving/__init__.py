"""Decisions on requests: admission, order, endpoint selection, retries, tickets."""
