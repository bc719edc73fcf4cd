"""Counters, logs and records of decisions."""
