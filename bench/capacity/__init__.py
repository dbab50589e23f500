"""Cost of control work (CPU, memory, calls, bytes) by the size of a cluster."""
