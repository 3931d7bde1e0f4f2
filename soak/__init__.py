"""Soak test: the real program on loopback against fake servers and clients, under seeded disturbances."""
