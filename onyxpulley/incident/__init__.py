"""Records of what routers did, and the analysis of incidents from them. Off unless an operator sets it up.

In the router: `collector` (what is recorded), `recorder` (writes the files), `hooks` (connects the collector
to the program) and `settings`. Afterwards: `merge` (one timeline on one clock), `fleet` (the state of servers
and routers) and `causes` (incidents and their likely causes), all without I/O; `files` and `record_set` read
the files, `cli` is the command and `report` the HTML report.
"""
