"""One host of the platform: the agent beside its runner; knows no wire format."""
