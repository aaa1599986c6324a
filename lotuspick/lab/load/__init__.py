"""The load generator: open loop, so that a slow broker is measured as slow.

``arrivals`` draws requests ahead, ``trace`` keeps them in files, ``sender`` sends them when they are due
and ``measure`` says what came of them; ``trial`` holds all of it against ``fake_broker``, whose latencies
are known.
"""
