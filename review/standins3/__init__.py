"""Stand-ins and the harness of the cases 11 to 15."""
