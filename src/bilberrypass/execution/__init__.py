"""Tasks on one host, their room and their speed; knows no store and no queue."""
