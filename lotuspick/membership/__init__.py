"""Fleet membership: the brokers of the fleet, and failure detection among them. Disabled on the platform.

``model`` defines values and messages. ``members`` is the state machine of one broker. It is built from
``view`` (own record, joining, leaving), ``table`` (records of all members), ``rings`` (monitoring topology),
``failure_detector`` (suspicions) and ``gossip`` (dissemination). ``quorum`` derives the broker's permissions
from the members that it reaches, and ``constraints`` applies them to sessions.
"""
