"""Decides how much of the answers that callers have not read yet a gateway keeps. No I/O.

Load pattern: callers that read more slowly than back ends write, up to all of them at once. A back
end whose answer is not read on holds a slot and memory, and cuts the answer after some seconds; so
the gateway reads on and keeps the rest. Callers need that a few slow ones cost the others nothing:
what is kept for one answer, one tenant and in all is bounded by shares of the process's memory.

- An answer beyond its own share is read on as long as half of the room of the process is left;
  after that by single reads with short pauses, so that answers within their shares get the rest.
- Beyond the share of a tenant, or of the process, an answer is dropped at once: among the large
  ones, so that few drops make room, the one that is least worth, then one that its caller may
  continue elsewhere, then the one that stands still longest, then the largest.
- An answer is also dropped if its deadline has passed and its caller reads nothing any more. Until
  then a caller that comes back gets all of it.
"""

from __future__ import annotations

MEMORY_SHARE = 4
"""The room is the process's memory limit divided by this: what else it holds at full load, and
the allocator's reserve for growing buffers, must fit beside it.
"""

ANSWER_SHARE = 8
"""The share of an answer is the room divided by this: some slow callers fit without any drop."""

TENANT_SHARE = 2
"""The share of a tenant is the room divided by this: no tenant takes the room of all others."""

MIN_ANSWER_BYTES = 1024 * 1024
"""Least share of an answer; a body that is held until it is complete must fit into it."""

LARGE_SHARE = 4
"""Answers that keep less than the largest one divided by this are not dropped for room."""

STANDSTILL_S = 10.0
"""Time without any progress after which an answer is given up, if its deadline has passed too."""


class KeptAnswer:
    """What is kept for one caller's connection.

    Attributes:
        tenant: Tenant of the request; empty if it has none.
        rank: Priorities of its tenant and of its route, where 0 is the most urgent.
        may_continue: Whether the caller may continue the answer at another gateway.
        until_s: Deadline of the request, in seconds.
        is_dropped: Whether its connection was aborted because the caller read too slowly.
        kept_bytes: Bytes that wait to be sent.
        sent_bytes: Bytes that were sent since the connection began.
        progress_s: When bytes were last sent, or the first were kept, in seconds.
    """

    __slots__ = (
        "is_dropped",
        "kept_bytes",
        "may_continue",
        "progress_s",
        "rank",
        "sent_bytes",
        "tenant",
        "until_s",
    )

    def __init__(self) -> None:
        self.tenant = ""
        self.rank = (0, 0)
        self.may_continue = False
        self.until_s = 0.0
        self.is_dropped = False
        self.kept_bytes = 0
        self.sent_bytes = 0
        self.progress_s = 0.0


class AnswerBuffer:
    """The answers that are kept for callers, and the room for them.

    Args:
        limit_bytes: The room, in bytes.

    Attributes:
        limit_bytes: The room, in bytes.
        answer_limit_bytes: Share of one answer, in bytes.
        total_bytes: What is kept in all, in bytes.
    """

    __slots__ = (
        "_answers",
        "_by_tenant",
        "_tenant_limit_bytes",
        "answer_limit_bytes",
        "limit_bytes",
        "total_bytes",
    )

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.answer_limit_bytes = max(MIN_ANSWER_BYTES, limit_bytes // ANSWER_SHARE)
        self.total_bytes = 0
        self._tenant_limit_bytes = limit_bytes // TENANT_SHARE
        self._answers: set[KeptAnswer] = set()
        self._by_tenant: dict[str, int] = {}

    @classmethod
    def for_memory(cls, memory_mb: int) -> AnswerBuffer:
        """Return the buffer of a process with a memory limit, in MB."""
        return cls(memory_mb * 1024 * 1024 // MEMORY_SHARE)

    @property
    def count(self) -> int:
        """Number of answers of which something is kept."""
        return len(self._answers)

    def describe(
        self,
        answer: KeptAnswer,
        tenant: str,
        rank: tuple[int, int],
        may_continue: bool,
        until_s: float,
    ) -> None:
        """Set whose answer it is; what is kept already counts for the same tenant from now on."""
        kept_bytes = answer.kept_bytes
        self._add(answer, -kept_bytes)
        answer.tenant = tenant
        answer.rank = rank
        answer.may_continue = may_continue
        answer.until_s = until_s
        self._add(answer, kept_bytes)

    def update(self, answer: KeptAnswer, kept_bytes: int, sent_bytes: int, now_s: float) -> None:
        """Set what is kept of an answer and how much of it was sent."""
        if sent_bytes > answer.sent_bytes or not answer.kept_bytes:
            answer.sent_bytes = sent_bytes
            answer.progress_s = now_s
        self._add(answer, kept_bytes - answer.kept_bytes)

    def remove(self, answer: KeptAnswer) -> None:
        """Forget an answer, of which nothing is kept any more."""
        self._add(answer, -answer.kept_bytes)

    def may_read_on(self) -> bool:
        """Whether an answer beyond its own share may be read on without pauses."""
        return self.total_bytes <= self.limit_bytes // 2

    def next_drop(self) -> KeptAnswer | None:
        """Return the answer to drop first, None while all fit."""
        if self.total_bytes > self.limit_bytes:
            return _first_to_drop(list(self._answers))
        tenant, kept_bytes = max(
            ((tenant, size) for tenant, size in self._by_tenant.items() if tenant),
            key=lambda item: item[1],
            default=("", 0),
        )
        if kept_bytes <= self._tenant_limit_bytes:
            return None
        return _first_to_drop([item for item in self._answers if item.tenant == tenant])

    def given_up(self, now_s: float) -> list[KeptAnswer]:
        """Return the answers whose callers read nothing any more."""
        return [
            item
            for item in self._answers
            if now_s > item.until_s and now_s - item.progress_s > STANDSTILL_S
        ]

    def _add(self, answer: KeptAnswer, change_bytes: int) -> None:
        answer.kept_bytes += change_bytes
        self.total_bytes += change_bytes
        of_tenant = self._by_tenant.get(answer.tenant, 0) + change_bytes
        if of_tenant:
            self._by_tenant[answer.tenant] = of_tenant
        else:
            self._by_tenant.pop(answer.tenant, None)
        if answer.kept_bytes:
            self._answers.add(answer)
        else:
            self._answers.discard(answer)


def _first_to_drop(answers: list[KeptAnswer]) -> KeptAnswer:
    largest_bytes = max(item.kept_bytes for item in answers)
    large = [item for item in answers if item.kept_bytes * LARGE_SHARE >= largest_bytes]
    return max(
        large,
        key=lambda item: (item.rank, item.may_continue, -item.progress_s, item.kept_bytes),
    )


__all__ = ["AnswerBuffer", "KeptAnswer"]
