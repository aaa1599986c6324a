"""Network transports on Twisted.

Callbacks of the reactor only decode input and post messages to the dispatcher's inbox.
"""
