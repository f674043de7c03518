"""Stand-ins of the hosting platform: its store, workers, settings and a short day on loopback."""
