"""The broker's decision logic with its input and output types: standard library only, no I/O, no clock."""
