"""Lots, batch jobs of opaque items: replicated by the group of stores and run by its leader."""
