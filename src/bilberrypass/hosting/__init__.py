"""One host: the agent's part beside its runner; knows no wire format."""
