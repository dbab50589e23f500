"""HTTP servers that bound the memory, time and work spent on incomplete requests."""
