"""Which batch task runs where; knows hosts by their reports, serves no connection."""
