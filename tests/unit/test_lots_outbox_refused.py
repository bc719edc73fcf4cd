"""A result that the group refuses is found out though no answer comes in time.

Symptom: an accepted item has one run, which ended, and no later one, while commits take longer than
1.5 s; items that came later are listed. Sequence: a store takes the lead and reads an item's
progress before the last command of the leader before it is applied; its run gives other events than
those that command has; the run ends, and its result is refused, but the answer comes too late.
Cause: that a part was refused is learnt from the answer alone. The outbox sends the result again
and again, the group refuses it each time, and an item with a result is not run again.
"""

from __future__ import annotations

import asyncio

from tests.unit.test_lots_outbox import EVENTS, feed, record, submitted

from leverjunction.lots.commands import (
    ItemProgress,
    OpenKeys,
    ReadOpenKeys,
    RecordedProgress,
    RecordRuns,
    encode_command,
)
from leverjunction.lots.outbox import Outbox
from leverjunction.wire.codec import decode_reply, encode


def test_a_refused_result_is_run_again_while_each_commit_outlasts_its_proposer() -> None:
    async def play() -> None:
        group = submitted(1)
        (run,) = group.runs()
        outbox = Outbox(group)
        feed(run, 1, 2)
        await record(outbox, [run])
        # The last word of the leader before, applied only now; its run gave another text.
        before = ItemProgress(
            lot_id="lot", item_id="item-0", start=2, count=1, last_id="3", text="another 3"
        )
        group.propose(encode_command(RecordRuns(progress=(before,), repeats=True)), 1.0)
        assert group.progress() == RecordedProgress(3, "3")
        group.late = True
        feed(run, 3, EVENTS)
        outbox.complete(run)
        for _ in range(5):
            await record(outbox, [run])
            # As the runner does every two seconds.
            opened = decode_reply(group.query_local(encode(ReadOpenKeys())), OpenKeys)
            assert isinstance(opened, OpenKeys)
            outbox.retain(frozenset(opened.keys))
        assert group.results() or not outbox.has_result(run), "neither listed nor to be run again"

    asyncio.run(play())
