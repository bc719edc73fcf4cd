"""Leverjunction: serves online and batch inference from one shared fleet of back ends."""

__version__ = "0.1.0"
