"""Decisions on the leases and endpoint shares of the daemons of a data centre."""
