"""Randomized soak test of the real programs under injected faults.

The programs run as processes, and faults are injected from outside. Each seed
determines the submissions, how runs end, and a schedule of overlapping faults. The
invariants are checked against what callers and runners observe. Clocks are not
stepped, because no program allows this from outside; runners' clocks run 2% slow
instead.
"""
