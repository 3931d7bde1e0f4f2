"""SPIFFE identities: who this router is, whom it trusts, and whom it expects. Off on the platform.

Free of I/O: `ids`, `svids`, `state`, `peers`, `pace`. On files and sockets: `sources`, `workload`, `tls`,
`trust`.
"""
