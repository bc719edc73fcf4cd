"""Metrics, logging and the decision log."""
