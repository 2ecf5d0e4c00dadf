"""Placement of batch tasks on hosts, from host reports; opens no connection."""
