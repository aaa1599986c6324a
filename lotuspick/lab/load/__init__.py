"""An open-loop load generator: the send times do not depend on how fast the broker answers.

``arrivals`` draws requests in advance, ``trace`` stores them in files, ``sender`` sends them when they are
due and ``measure`` records latencies and outcomes. ``trial`` checks the measurements against
``fake_broker``, whose latencies are known.
"""
