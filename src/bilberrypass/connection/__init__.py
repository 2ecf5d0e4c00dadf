"""Connections to other processes; holds nothing that belongs to a single request."""
