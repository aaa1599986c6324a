"""Real broker processes on loopback, with network faults between them.

``broker_rig`` starts the processes, and ``fleet_rig`` adds membership, fault injection and load.
``fault_proxy`` forwards the traffic between brokers on a thread of the rig, and ``load_clients`` runs as a
separate process. ``trial`` contains the trials of the experiments.
"""
