"""Cell-based architecture: tenants and lessons confined to parts of the fleet, each with budgets.

Read in this order: ``model`` (the values of a plan), ``plan_file`` and ``toml_values`` (reading them),
``directory`` (who belongs where), ``migration`` and ``migration_tracker`` (stages of a tenant's migration),
``budgets`` (what a tenant and a cell may ask), ``cell_status``, ``session_counts`` and
``undersized_tracker`` (what this broker has seen), ``constraints`` (the cells' side of placement) and
``exposure`` (how much of the fleet one tenant can touch). Nothing here does I/O or reads a clock.
"""
