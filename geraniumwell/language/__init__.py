"""Grammar, parser and printer of the operators' statement language."""
