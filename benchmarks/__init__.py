"""Benchmarks of the real processes; each prints its figures."""
