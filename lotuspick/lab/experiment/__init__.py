"""Experiments, defined by TOML files. All arms run on the same seeds and are compared in pairs.

``experiment_file`` reads the file, ``trials`` lists the available trials, ``runner`` runs them,
``evaluation`` compares the figures with their bounds, and ``results`` writes tables, a chart and a page.
"""
