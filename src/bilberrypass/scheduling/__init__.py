"""Jobs and the elected process that schedules them, independent of wire formats."""
