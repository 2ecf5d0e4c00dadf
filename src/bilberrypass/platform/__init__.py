"""Adapter between the users' platform and the product; has no policy of its own."""
