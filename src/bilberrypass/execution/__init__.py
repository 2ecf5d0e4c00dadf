"""The tasks of one host, their resources and throttling; uses no store or queue."""
