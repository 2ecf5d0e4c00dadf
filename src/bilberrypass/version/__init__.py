"""What lives as long as one version of shared data; knows no connection."""
