"""Fixtures that several modules of unit tests use."""

from tests.unit.gateway_support import extended_poll_timeout

__all__ = ["extended_poll_timeout"]
