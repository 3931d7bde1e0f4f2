"""SPIFFE identities: the router's own SVID, the trust bundles, and the verification of servers and callers.

`ids`, `svids`, `store`, `peers` and `backoff` do no I/O. `files`, `workload`, `tls` and `manager` use files
and sockets; `settings` holds what the operator's file configures.
"""
