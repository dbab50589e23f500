"""Stand-ins and driver of the cases of the second review; standard library only."""
