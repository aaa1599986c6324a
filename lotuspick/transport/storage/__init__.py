"""Storage on disk: a record store with checksums and group commit, the seat ledger and the signing keys."""
