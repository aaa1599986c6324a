"""Discrete-event emulator of a site around the real dispatcher and controller, in simulated time.

One run is called a day. ``spec`` holds its parameters and ``world`` runs it. ``node`` and ``broker`` model
the machines, ``viewers`` and ``attempt`` the clients, ``faults`` the injected faults and ``link_meter`` the
delivered bandwidth. ``audit`` checks the rules and sums the delivered value. Runs with the same seed give
identical results. The emulator covers effects that need several brokers, tenants and nodes; it does not
replace the operators' bench.
"""
