"""How far the requests of a tenant may exceed its limit, and how that room is divided."""

from __future__ import annotations

import msgspec

from leverjunction.routes.types import RateLimit

POOLED_SHARE = 0.25
"""Share of the tolerated excess that is added to the bucket's depth. The rest covers requests that
gateways admit before the owner knows of them.
"""


class QuotaBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Tolerance of the deployment.

    In no period of ``window_s`` may a tenant have more requests than
    (rate x ``window_s`` + burst) x (1 + ``overshoot``) + ``slack``.

    Attributes:
        window_s: Length of the periods in seconds.
        overshoot: Tolerated share beyond the limit.
        slack: Tolerated number of requests beyond that.
    """

    window_s: float = 5.0
    overshoot: float = 0.0
    slack: float = 0.0

    def excess(self, limit: RateLimit) -> float:
        """Return the number of requests beyond the limit that are tolerated in one window."""
        return self.overshoot * (limit.per_s * self.window_s + limit.burst) + self.slack

    def depth(self, limit: RateLimit) -> float:
        """Return the depth of a tenant's token bucket; at least one request always fits."""
        return max(1.0, limit.burst + POOLED_SHARE * self.excess(limit))


__all__ = ["QuotaBounds"]
