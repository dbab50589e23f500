"""Tests of geraniumwell.actors, most of them with real processes."""
