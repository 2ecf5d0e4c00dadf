"""What lives as long as one command of the tool ``bilberrypass``."""
