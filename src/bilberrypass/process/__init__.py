"""What lives as long as a process of the system."""
