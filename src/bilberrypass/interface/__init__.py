"""HTTP interfaces for callers, operators and endpoints; they make no decisions."""
