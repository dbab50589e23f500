"""Allows ``python -m geraniumwell``."""

from geraniumwell.cli.main import main

main()
