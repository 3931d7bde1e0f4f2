"""Soak tool: the real program over loopback against stand-ins, under seeded faults."""
