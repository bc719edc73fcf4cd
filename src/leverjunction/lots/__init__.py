"""Batch jobs of opaque items: kept by the stores' group, run by its leader."""
