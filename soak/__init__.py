"""A randomized soak: the real programs as processes, faults from outside.

Each seed draws submissions, runners' ends and a series of overlapping faults, and
checks the promises from what callers and runners see. Clocks are not stepped: no
program lets that be injected from outside; runners' clocks run 2% slow instead.
"""
