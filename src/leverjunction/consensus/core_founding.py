"""Founding (bootstrap) of a group, and the identity messages that distinguish blank replicas.

A new group is founded only if every first member replies that it is blank and no witness (another
process that may hold a replica) replies that the group is founded already. The founder is the
first member with the lowest address. It sends the founding record, which lists the replica ids
that replied, and becomes a voter itself only after all the others have stored the record.

A replica id is created together with the replica's data. A replica whose id is in the record has
therefore never voted or acknowledged anything, and may start as a voter with an empty log. A
replica with any other id stays blank and is repaired as a learner.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from leverjunction.consensus.core_base import CoreBase
from leverjunction.consensus.events import PersistFounding
from leverjunction.consensus.log_view import LogView
from leverjunction.consensus.messages import (
    FoundReply,
    FoundRequest,
    Header,
    IdentityQuery,
    IdentityReply,
)
from leverjunction.consensus.types import (
    Configuration,
    DurableState,
    LogPosition,
    Member,
)

NONCE_BITS = 63
FOUNDING_ID_BITS = 128
WITNESS_WAIT_FRACTION = 0.5
"""Time that witnesses have to reply, as a fraction of the duration of a founding attempt."""


@dataclass
class FoundingAttempt:
    """State of the founder's current attempt to found the group.

    Attributes:
        nonce: Number that ties replies to this attempt.
        started_s: Monotonic time at which the attempt began, in seconds.
        blank_ids: Replica id of each first member that replied that it is blank, by address.
        founding_id: Random id of the founding, chosen once all have replied; empty before.
        stored: Replica ids that have stored the founding record.
        founded_elsewhere: True when a process replied that the group is founded already.
    """

    nonce: int
    started_s: float
    blank_ids: dict[str, str] = field(default_factory=dict)
    founding_id: str = ""
    stored: set[str] = field(default_factory=set)
    founded_elsewhere: bool = False


class FoundingCore(CoreBase):
    """Founding of the group and identity of its replicas."""

    attempt: FoundingAttempt | None = None
    founding_due_s: float = 0.0

    def is_founder(self) -> bool:
        """Return whether this replica may found the group.

        The founder is the replica at the lowest first address, while it is blank and not barred.
        """
        lowest = min(self.config.first_members, default="")
        return self.blank and not self.barred_from_founding and self.config.address == lowest

    def is_pristine(self) -> bool:
        """Return whether this replica has never voted or held an entry or a snapshot."""
        return self.term == 0 and self.log.last_index == 0 and self.log.base == LogPosition()

    def _other_first_members(self) -> list[str]:
        return [peer for peer in self.config.first_members if peer != self.config.address]

    def _tick_founding(self) -> None:
        if not self.is_founder() or self._now_s < self.founding_due_s:
            return
        self.founding_due_s = self._now_s + self.config.heartbeat_interval_s
        attempt = self.attempt
        timeout_s = self.config.election_timeout_max_s
        if attempt is None or self._now_s - attempt.started_s > timeout_s:
            attempt = FoundingAttempt(self._random.getrandbits(NONCE_BITS), self._now_s)
            self.attempt = attempt
        self._query_first_members(attempt)
        self._advance_founding(attempt)

    def _query_first_members(self, attempt: FoundingAttempt) -> None:
        if attempt.founding_id:
            self._send_founding(attempt)
            return
        for address in self._other_first_members():
            if address not in attempt.blank_ids:
                self._query_identity(address, attempt)
        for address in self.config.witnesses:
            self._query_identity(address, attempt)

    def _query_identity(self, address: str, attempt: FoundingAttempt) -> None:
        self._send(address, IdentityQuery(header=self.header(""), nonce=attempt.nonce))

    def _may_found(self, attempt: FoundingAttempt) -> bool:
        """Return whether every first member is blank and no process knows of a founding.

        A witness that holds no replica never replies, so the founder waits a fixed time for them.
        """
        wait_s = WITNESS_WAIT_FRACTION * self.config.election_timeout_max_s
        waited = not self.config.witnesses or self._now_s - attempt.started_s >= wait_s
        all_blank = all(address in attempt.blank_ids for address in self._other_first_members())
        return all_blank and waited and not attempt.founded_elsewhere

    def _advance_founding(self, attempt: FoundingAttempt) -> None:
        if not attempt.founding_id and self._may_found(attempt):
            attempt.founding_id = f"{self._random.getrandbits(FOUNDING_ID_BITS):032x}"
            self._send_founding(attempt)
        if attempt.founding_id and attempt.stored >= set(attempt.blank_ids.values()):
            self._adopt_founding(attempt.founding_id, self._founding_configuration(attempt))

    def _founding_configuration(self, attempt: FoundingAttempt) -> Configuration:
        ids = {self.config.address: self.replica_id, **attempt.blank_ids}
        members = [Member(replica_id=ids[address], address=address) for address in sorted(ids)]
        return Configuration(members=tuple(members), target=tuple(sorted(ids)))

    def _send_founding(self, attempt: FoundingAttempt) -> None:
        configuration = self._founding_configuration(attempt)
        for address, replica_id in attempt.blank_ids.items():
            if replica_id not in attempt.stored:
                self._send_found_request(address, replica_id, attempt.founding_id, configuration)

    def _send_found_request(
        self, address: str, to_id: str, founding_id: str, configuration: Configuration
    ) -> None:
        header = Header(
            founding_id=founding_id,
            from_id=self.replica_id,
            from_address=self.config.address,
            to_id=to_id,
            term=0,
        )
        self._send(address, FoundRequest(header=header, configuration=configuration))

    def _adopt_founding(self, founding_id: str, configuration: Configuration) -> None:
        """Store the founding record; this replica is a voter from then on."""
        self.attempt = None
        self.founding_id = founding_id
        self._emit(PersistFounding(founding_id=founding_id, configuration=configuration))
        self.log = LogView(
            DurableState(replica_id=self.replica_id, base_configuration=configuration)
        )
        self._reset_role()
        self._reset_election_deadline()

    def _on_identity_query(self, message: IdentityQuery) -> None:
        if self.barred_from_founding and message.nonce != 0:
            return
        self._send_identity(message.header.from_address, message.header.from_id, message.nonce)

    def _on_founding_identity(self, message: IdentityReply) -> None:
        """Handle an identity reply that belongs to this replica's founding attempt."""
        attempt = self.attempt
        if attempt is None or message.nonce != attempt.nonce or attempt.founding_id:
            return
        if message.header.founding_id != "":
            attempt.founded_elsewhere = True
        elif message.header.from_address in self.config.first_members:
            attempt.blank_ids[message.header.from_address] = message.header.from_id
            self._advance_founding(attempt)

    def _on_found_request(self, message: FoundRequest) -> None:
        header = message.header
        if not self._is_addressed(header):
            self._send_identity(header.from_address, header.from_id)
            return
        member = message.configuration.find(self.replica_id)
        is_new = self.founding_id != header.founding_id and self.is_pristine()
        if is_new and member is not None and member.voter:
            self._adopt_founding(header.founding_id, message.configuration)
        self._send(header.from_address, FoundReply(header=self.header(header.from_id)))

    def _on_found_reply(self, message: FoundReply) -> None:
        attempt = self.attempt
        if attempt is None or not attempt.founding_id:
            return
        if message.header.founding_id == attempt.founding_id:
            attempt.stored.add(message.header.from_id)
            self._advance_founding(attempt)

    def _offer_founding(self, address: str, replica_id: str) -> None:
        """Send the founding record to a first member that is still blank."""
        if self.blank or self.log.base != LogPosition():
            return
        member = self.log.base_configuration.find(replica_id)
        if member is not None and member.voter:
            self._send_found_request(
                address, replica_id, self.founding_id, self.log.base_configuration
            )
