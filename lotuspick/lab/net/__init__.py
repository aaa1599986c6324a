"""A simulated network under the same steps that the daemon drives: by seed, the same each time."""
