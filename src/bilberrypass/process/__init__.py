"""The long-running programs, which combine the other packages."""
