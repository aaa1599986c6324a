"""Experiments: arms run on the same seeds and are compared in pairs, as a TOML file says.

``experiment_file`` reads the file, ``trials`` holds what an arm may run, ``runner`` runs them,
``evaluation`` judges the figures, and ``results`` writes table, chart and page.
"""
