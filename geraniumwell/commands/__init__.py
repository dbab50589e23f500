"""Pure functions that decide changes of state."""
