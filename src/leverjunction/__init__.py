"""Leverjunction: online and batch inference served from one shared fleet."""

__version__ = "0.1.0"
