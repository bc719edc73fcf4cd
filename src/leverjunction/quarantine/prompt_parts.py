"""Parts of prompts that crash the back ends which run requests with them.

No two such requests need to be alike, so that evidence against a whole request is of no use. The
evidence is kept by part instead, under a key of its own. The last part of a prompt is the request's
own and is never judged.

Other requests run on a back end when it crashes, and share parts with the cause. A part that got a
complete response lately, or one that had gone on, is not accused: one that crashes each back end
never gets any.
Performs no I/O: the time is passed in.
"""

from __future__ import annotations

import hashlib
from collections.abc import Collection, Iterable, Mapping

from leverjunction.quarantine.verdicts import CAREFUL_THRESHOLD, REFUSAL_THRESHOLD, Standing

PART_PREFIX = "part:"
KEY_BYTES = 16
PROOF_S = 10.0
"""Time for which a complete response shows that the parts of its prompt are harmless."""

MAX_PROVEN = 20_000
MAX_PARTS = 16
"""Parts of one prompt that are judged, the first ones."""

PartId = tuple[str, str, str]
"""Route, credentials of the caller, and id of the part: what one caller declares on one route does
not count against another caller or another route.
"""


def part_key(part: PartId) -> str:
    """Return the key under which evidence against a part is kept."""
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    for field in part:
        data = field.encode("utf8", "surrogatepass")
        digest.update(len(data).to_bytes(8, "big"))
        digest.update(data)
    return PART_PREFIX + digest.hexdigest()


def is_part_key(key: str) -> bool:
    """Return whether a key belongs to a part and not to a whole request."""
    return key.startswith(PART_PREFIX)


class ProvenParts:
    """Parts that got a complete response lately. Not thread-safe."""

    __slots__ = ("_proven_s",)

    def __init__(self) -> None:
        self._proven_s: dict[PartId, float] = {}

    def add(self, parts: Iterable[PartId], now_s: float) -> None:
        """Record a complete response to a request with these parts."""
        self._proven_s.update(dict.fromkeys(parts, now_s))
        if len(self._proven_s) > MAX_PROVEN:
            self._drop_old(now_s)

    def has(self, part: PartId, now_s: float) -> bool:
        """Return whether a part got a complete response lately."""
        return now_s - self._proven_s.get(part, float("-inf")) <= PROOF_S

    def _drop_old(self, now_s: float) -> None:
        kept = {key: at_s for key, at_s in self._proven_s.items() if now_s - at_s <= PROOF_S}
        excess = len(kept) - MAX_PROVEN // 2
        for key in sorted(kept, key=kept.__getitem__)[: max(0, excess)]:
            del kept[key]
        self._proven_s = kept


def judge(own: Collection[str], crashed: Mapping[str, Collection[str]]) -> tuple[str, Standing]:
    """Return the part of a request that weighs most, and how the request is to be treated.

    Parts that mostly come together are accused by the same crashes. Those that another refused part
    explains do not get a request refused which lacks that part: it runs with care, and a complete
    response clears its parts.

    Args:
        own: Keys of the request's parts.
        crashed: Starts that crashed early in runs of each accused part, by its key.

    Returns:
        The key, empty if none of the parts is accused, and the treatment.
    """
    explained = {
        start
        for key, starts in crashed.items()
        if key not in own and len(starts) >= REFUSAL_THRESHOLD
        for start in starts
    }
    worst, most, standing = "", -1, Standing.SOUND
    for key in own:
        starts = crashed.get(key, ())
        if not starts:
            continue
        unexplained = sum(start not in explained for start in starts)
        if unexplained > most:
            worst, most = key, unexplained
            is_careful = len(starts) >= CAREFUL_THRESHOLD
            standing = Standing.CAREFUL if is_careful else Standing.SUSPECT
            if unexplained >= REFUSAL_THRESHOLD:
                standing = Standing.REFUSED
    return worst, standing


__all__ = ["MAX_PARTS", "PartId", "ProvenParts", "is_part_key", "judge", "part_key"]
