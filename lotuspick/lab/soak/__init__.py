"""Seeded soak of one real broker under signals, restarts, connection bursts and stalls, checked from outside.

``scenario`` draws the events, ``nodes`` and ``clients`` run as separate processes and write records,
``trial`` runs the scenario on the rig of :mod:`lotuspick.lab.fleet`, and ``judge`` finds violations.
"""
