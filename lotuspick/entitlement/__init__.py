"""Entitlements to paid sessions: signed tokens that name a seat, and the ledger that counts each seat once.

Read in this order: ``model`` (the claims of a token), ``tokens`` (signing and verification),
``request_check`` (whether a token is good for a request), ``ledger`` (the states of a seat), ``ledger_merge``
(merging the ledgers of brokers that share nothing), ``seat_session`` and ``constraints`` (the entitlement
side of placement). No I/O and no clock: keys and times are arguments, and the caller of the ledger writes
each record before the act that it covers.
"""
