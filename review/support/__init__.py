"""Processes and checks that the cases of the review share."""
