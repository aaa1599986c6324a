"""Several real brokers on loopback, with relays that fail between them. Read ``rig`` first; ``callers`` is a process of
its own, ``relay`` a thread of the rig's, ``trial`` what the experiments ask."""
