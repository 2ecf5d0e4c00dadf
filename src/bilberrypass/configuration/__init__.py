"""Configuration changes and operator tokens; depends on the store, not on hosts."""
