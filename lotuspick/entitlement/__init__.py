"""Entitlements to paid sessions: signed tokens that name a seat, and a ledger that counts each seat once.

Read the modules in this order: ``model`` (the claims of a token), ``tokens`` (signing and verification),
``request_check`` (whether a token is valid for a request), ``ledger`` (the states of a seat),
``ledger_merge`` (merging the ledgers of brokers without shared state), ``seat_session`` and ``constraints``
(placement constraints). The package does no I/O and reads no clock: keys and times are arguments, and the
caller of the ledger makes each record durable before it acts on it.
"""
