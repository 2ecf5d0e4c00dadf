"""Jobs and the one process that schedules them; knows no wire format."""
