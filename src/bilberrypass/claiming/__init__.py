"""Claims on idempotency keys; uses shards and their owners, independent of jobs."""
