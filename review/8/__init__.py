"""Case 8 of the second review."""
