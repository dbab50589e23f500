"""Actors, each the one owner of its sockets and state."""
