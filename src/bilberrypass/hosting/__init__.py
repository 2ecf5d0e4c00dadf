"""The agent of one host and its runner; independent of the wire format."""
