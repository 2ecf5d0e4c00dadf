"""Which entries and hosts live, and who owns what; knows no job and no request."""
