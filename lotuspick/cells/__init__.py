"""Cell-based architecture: confines tenants and titles to parts of the fleet, each with its own budgets.

Read the modules in this order: ``model`` (the values of a plan), ``plan_file`` and ``toml_values`` (parsing a
plan), ``directory`` (assignment of nodes, tenants and titles to cells), ``migration`` and
``migration_tracker`` (stages of a tenant's migration), ``budgets`` (request limits of tenants and cells),
``cell_status``, ``session_counts`` and ``undersized_tracker`` (state observed by this broker),
``constraints`` (placement constraints) and ``exposure`` (share of the fleet that one tenant can reach).
The package does no I/O and reads no clock.
"""
