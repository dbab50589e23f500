"""Processes and clients that the scripts of the third review share."""
