"""Live entries and hosts, and shard ownership; independent of jobs and requests."""
