"""What lives as long as one version of shared data: settings, configuration, pages."""
