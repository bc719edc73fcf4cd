"""Operator settings: schema, inheritance, and replicated changes."""
