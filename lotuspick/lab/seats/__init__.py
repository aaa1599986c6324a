"""Trials of seats under faults: real brokers, fake media nodes, viewers and an auditor on loopback.

The experiments run ``trial`` on the processes of ``seats_rig``; ``fake_nodes``, ``viewers`` and
``adjustable_clock_broker`` each run as a separate process. ``audit`` checks their logs against the settled
ledgers.
"""
