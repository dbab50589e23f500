"""Tests of geraniumwell.commands.gangs."""
