"""What lives as long as one request of a caller; knows no program."""
