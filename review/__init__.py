"""Cases of an independent review; not part of CI or of the default test run."""
