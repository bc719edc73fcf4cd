"""What an engine has loaded, and the fenced orders that change it."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from testbed.engine.types import EngineOrder, OrderAnswer, OrderFence

ADAPTER_WEIGHTS_RATIO = 0.05
"""Size of an adapter against its model."""


class Placement:
    """Loaded models with versions, and loads in progress at the weight store's rate.

    Loads run one after another. Times are the caller's seconds.

    Args:
        models: Models loaded at the start.
        weights_bytes: Size of each model's weights.
        bytes_per_s: Rate of the weight store.
    """

    def __init__(self, models: Sequence[str], weights_bytes: int, bytes_per_s: float) -> None:
        self._load_s = weights_bytes / bytes_per_s
        self._versions: dict[str, str] = {model: "1" for model in models}
        self._loading: deque[tuple[float, str, str]] = deque()
        self._fence = OrderFence(0, 0)
        self._order_id = ""
        self._role = ""

    @property
    def role(self) -> str:
        """Role that was last ordered, empty at first."""
        return self._role

    def models(self) -> list[str]:
        """Return the models that are ready."""
        return sorted(self._versions)

    def versions(self) -> dict[str, str]:
        """Return the version of each model that is ready."""
        return dict(self._versions)

    def is_ready(self, model: str) -> bool:
        """Return whether requests for ``model`` can run."""
        return model in self._versions

    def advance(self, now_s: float) -> None:
        """Make ready what has been loaded by now."""
        while self._loading and self._loading[0][0] <= now_s:
            _, model, version = self._loading.popleft()
            self._versions[model] = version

    def order(self, order: EngineOrder, now_s: float) -> OrderAnswer:
        """Accept or refuse a fenced order; a resend of the last one changes nothing."""
        if order.fence < self._fence:
            return OrderAnswer(accepted=False, fence=self._fence)
        if order.fence == self._fence:
            is_resend = order.order_id == self._order_id
            return OrderAnswer(accepted=is_resend, fence=self._fence, is_resend=is_resend)
        self._fence = order.fence
        self._order_id = order.order_id
        ready_s = self._carry_out(order, now_s)
        return OrderAnswer(accepted=True, fence=self._fence, ready_s=ready_s)

    def _carry_out(self, order: EngineOrder, now_s: float) -> float:
        """Begin what an order asks for; returns when a load will be ready, 0 for another action."""
        name = order.name
        if order.action == "load":
            begin_s = self._loading[-1][0] if self._loading else now_s
            load_s = self._load_s * (ADAPTER_WEIGHTS_RATIO if order.adapter else 1.0)
            ready_s = max(begin_s, now_s) + load_s
            self._loading.append((ready_s, name, order.version))
            return ready_s
        if order.action == "unload":
            self._versions.pop(name, None)
            self._loading = deque(load for load in self._loading if load[1] != name)
        elif order.action == "set_role":
            self._role = order.role
        return 0.0
