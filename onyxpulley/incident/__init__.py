"""Seeing an incident: what routers record, and what their records together say. Off on the platform.

In the router: `tally` (what is recorded, free of I/O), `recorder` (the files), `hooks` (where it listens).
Afterwards: `merge` (one order of time), `fleet` (what was when), `causes` (what went wrong, what came first),
all free of I/O; `files`, `report`, `cli`.
"""
