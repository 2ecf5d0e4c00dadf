"""Decision logs and metrics of a process; knows nothing of what it records."""
