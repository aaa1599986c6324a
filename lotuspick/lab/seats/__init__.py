"""Seats under faults, on loopback: real brokers, fake media nodes, viewers, and an independent auditor.

``trial`` is what the experiments run, on the processes of ``seats_rig``; each of ``fake_nodes``,
``viewers`` and ``adjustable_clock_broker`` is a process of its own. ``audit`` judges what they left
behind.
"""
