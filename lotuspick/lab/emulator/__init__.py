"""A small model of the world round the real dispatcher and decisions, in simulated time.

``spec`` says what a day is made of and ``world`` plays it: ``node`` and ``broker`` are the machines,
``viewers`` and ``attempt`` those who ask, ``faults`` what goes wrong, ``link_meter`` what is delivered;
``audit`` keeps the rules and counts the value. The same seed gives the same bytes. It is for what only
several brokers, tenants and nodes together show; it does not stand for the operators' bench.
"""
