"""Experiments and load tests; an extra (``pip install .[lab]``) that no other part of the package imports."""
