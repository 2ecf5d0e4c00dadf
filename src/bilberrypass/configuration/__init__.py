"""Changes of the configuration and who may make them; knows the store, no host."""
