"""The outbox detects that the group rejects a result although no reply arrives in time.

Guards against an item that is never run again while commits take longer than 1.5 s. A new leader
reads an item's progress before the previous leader's last command is applied, and its own run
produces other events than that command contains. The result of the run is rejected, but the reply
comes too late. If rejections were learnt from replies alone, the outbox would send the result
without end, and an item with a waiting result is not run again.
"""

from __future__ import annotations

import asyncio

from tests.unit.test_lots_outbox import EVENTS, feed_events, group_with_lot, record

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


def test_item_with_rejected_result_is_run_again_while_commits_time_out() -> None:
    async def scenario() -> None:
        group = group_with_lot(1)
        (run,) = group.runs()
        outbox = Outbox(group)
        feed_events(run, 1, 2)
        await record(outbox, [run])
        # The last command of the previous leader, applied only now; its run produced another text.
        late_progress = ItemProgress(
            lot_id="lot", item_id="item-0", start=2, count=1, last_id="3", text="another 3"
        )
        group.propose(encode_command(RecordRuns(progress=(late_progress,), repeats=True)), 1.0)
        assert group.progress() == RecordedProgress(3, "3")
        group.times_out = True
        feed_events(run, 3, EVENTS)
        outbox.complete(run)
        for _ in range(5):
            await record(outbox, [run])
            # The runner does this every two seconds.
            reply = decode_reply(group.query_local(encode(ReadOpenKeys())), OpenKeys)
            assert isinstance(reply, OpenKeys)
            outbox.retain(frozenset(reply.keys))
        assert group.results() or not outbox.has_result(run), (
            "no result recorded, and the item is not run again"
        )

    asyncio.run(scenario())
