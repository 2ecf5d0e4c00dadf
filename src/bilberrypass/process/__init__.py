"""The programs, put together from all other packages."""
