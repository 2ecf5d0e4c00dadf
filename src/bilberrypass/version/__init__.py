"""Versioned formats of shared data; independent of any connection."""
