"""Several real brokers on loopback, with network faults between them.

``broker_rig`` starts the processes and ``fleet_rig`` adds what brokers that know each other need:
``fault_proxy`` stands between them, on a thread of the rig's, and ``load_clients`` is a process of its
own. ``trial`` is what the experiments run.
"""
