"""Messages between actors and between daemons."""
