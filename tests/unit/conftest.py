"""Fixtures that several modules of unit tests share."""

from tests.unit.gateway_support import patient_polls

__all__ = ["patient_polls"]
