"""Claims on idempotency keys; knows shards and their owners, no job."""
