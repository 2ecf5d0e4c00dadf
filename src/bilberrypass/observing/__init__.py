"""Logs, metrics and traces of a process; knows nothing of what it records."""
