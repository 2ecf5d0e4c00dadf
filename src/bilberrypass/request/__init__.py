"""The handling of one request of a caller; independent of the processes using it."""
