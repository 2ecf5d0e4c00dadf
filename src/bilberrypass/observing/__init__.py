"""Logs, metrics and traces of a process, independent of what is recorded."""
