"""What lives as long as a connection to another process; knows no request."""
