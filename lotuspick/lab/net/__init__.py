"""Simulation of a network that runs the broker's state machines.

A run is determined by its seed.

``simulated_network`` simulates hosts, disks, links and time. ``simulated_fleet`` runs the members of a fleet
on it, ``fault_scenario`` defines timelines of faults, and ``trial`` contains the trials of the experiments.
"""
