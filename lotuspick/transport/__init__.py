"""Sockets, on Twisted. Callbacks of the reactor decode and put items into the loop's inbox, no more."""
