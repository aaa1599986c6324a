"""A simulated network under the same state machines that the broker runs.

The same seed gives the same run each time.

``simulated_network`` has hosts, disks, links and time, ``simulated_fleet`` runs members of a fleet on it,
``fault_scenario`` says which faults happen when, and ``trial`` is what the experiments run.
"""
