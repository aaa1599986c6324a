"""Fleet membership: which brokers are there, and which have failed. Off on the platform.

``model`` holds the values and messages; ``members`` is one broker among the others, built of ``view`` (its
own record, joining and leaving), ``table`` (what is believed), ``rings`` (who watches whom),
``failure_detector`` (who is suspected) and ``gossip`` (what is passed on); ``quorum`` says what the broker
may do while brokers disagree, and ``constraints`` what that leaves open to its sessions.
"""
