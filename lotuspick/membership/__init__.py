"""Who is there, who has failed: the brokers of a fleet know each other. Off on the platform.

``model.py`` holds the values and messages, ``members.py`` what one broker believes of all, ``standing.py`` what it may
do while they disagree.
"""
