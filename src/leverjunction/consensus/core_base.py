"""State of the pure core and the steps that all its parts share."""

from __future__ import annotations

import math
from random import Random

from leverjunction.consensus.events import Effect, PersistHardState, Send, SteppedDown
from leverjunction.consensus.log_view import LogView
from leverjunction.consensus.lost_voters import LostVoters
from leverjunction.consensus.messages import Header, IdentityReply, Message
from leverjunction.consensus.progress import Progress
from leverjunction.consensus.slow_steps import SlowSteps
from leverjunction.consensus.types import (
    Configuration,
    DurableState,
    GroupConfig,
    HardState,
    LogPosition,
    Role,
)
from leverjunction.standstills import NOTED_FROM_S, Standstills

LEASE_SHARE = 0.9
"""A leader's lease is this share of the shortest election timeout, for clocks that drift."""

STEPS_OF_A_ROUND = 4
"""Steps that a leader's round may wait for: the one under way and the next, on both sides."""

SLOW_TIMEOUT_MOST_S = 3.0
"""Longest election timeout of a slow replica, in seconds: a leader that fell silent is replaced
within it.
"""

LEADER_CHECK_HEARTBEATS = 1.5
"""Silence of a leader, in heartbeats, after which a follower asks whether its process lives."""

GONE_SPREAD_SHARE = 0.25
"""Followers that learn together that their leader is gone campaign within this share of the
shortest election timeout.
"""

GONE_TIMEOUTS = 2.0
"""Longest election timeouts for which a leader that is gone is not heard again in its term. Late
messages of it would hold up the election (3.2 s without a leader in place of 0.7 s, simulator);
an election is over by then, and a leader that was reported gone by mistake is heard again.
"""


class CoreBase:
    """One replica's consensus state. Not thread-safe; one driver calls it.

    Attributes are public so that the simulator's checkers can read them.
    """

    def __init__(
        self, config: GroupConfig, durable: DurableState, random: Random, now_s: float
    ) -> None:
        self.config = config
        self.replica_id = durable.replica_id
        self.founding_id = durable.founding_id
        self.barred_from_founding = durable.barred_from_founding
        self.hard_state = durable.hard_state
        self.log = LogView(durable)
        self.commit_index = durable.applied_index
        self.applied_index = durable.applied_index
        self.persisted_index = durable.last_index
        self.role = Role.BLANK
        self.leader_id = ""
        self.leader_address = ""
        # A restarted voter may have answered a leader right before, so it honours that lease.
        self.leader_contact_s = now_s
        self.leader_check_s = math.inf
        """When the leader is asked whether its process still lives, unless it is heard before."""
        self.caught_up_s = -math.inf
        """When a leader's message last showed that this replica holds all that is committed."""
        self.election_deadline_s = math.inf
        self.gone_leader_id = ""
        """Leader of this term whose process ended, as long as late messages of it may come."""
        self.gone_until_s = -math.inf
        self.lost_voters = LostVoters()
        self.progress: dict[str, Progress] = {}
        self.leader_since_s = 0.0
        self.slow_steps = SlowSteps()
        self.standstills = Standstills()
        self._random = random
        self._now_s = now_s
        self._effects: list[Effect] = []
        self._settle_role()
        self._reset_election_deadline()

    @property
    def term(self) -> int:
        """Current term."""
        return self.hard_state.term

    @property
    def configuration(self) -> Configuration:
        """Configuration in force."""
        return self.log.configuration

    @property
    def blank(self) -> bool:
        """True while this replica belongs to no founding of the group."""
        return self.founding_id == ""

    @property
    def _slowness(self) -> float:
        """How many times longer than usual this replica is patient, 1 when its steps are fast.

        With a fixed patience of 0.4 s and syncs of 0.3 s, no leader lasted until its first round
        was answered. It may differ between replicas: nothing that must not happen twice hangs on
        it, since commits and reads need the answers of a quorum in the leader's own term.
        """
        shortest_s = self.config.election_timeout_min_s
        wanted = STEPS_OF_A_ROUND * self.slow_steps.lasting_s(self._now_s) / shortest_s
        return max(1.0, min(wanted, SLOW_TIMEOUT_MOST_S / self.config.election_timeout_max_s))

    @property
    def timeout_min_s(self) -> float:
        """Shortest silence of a leader after which this replica campaigns, in seconds."""
        return self.config.election_timeout_min_s * self._slowness

    @property
    def timeout_max_s(self) -> float:
        """Longest silence of a leader after which this replica campaigns, in seconds."""
        return self.config.election_timeout_max_s * self._slowness

    @property
    def lease_s(self) -> float:
        """How long a leader leads on after it last heard a quorum, in seconds."""
        return self.timeout_min_s * LEASE_SHARE

    def is_voter(self) -> bool:
        """Return whether the configuration in force lists this replica as a voter."""
        return self.replica_id in self.configuration.voter_ids()

    def majority_lost(self) -> bool:
        """Return whether no leader can be elected, since too many voters lost their disks."""
        return not self.leader_address and self.lost_voters.majority(self.configuration)

    def header(self, to_id: str, term: int | None = None) -> Header:
        """Return the header of a message from this replica."""
        return Header(
            founding_id=self.founding_id,
            from_id=self.replica_id,
            from_address=self.config.address,
            to_id=to_id,
            term=self.term if term is None else term,
        )

    def _emit(self, effect: Effect) -> None:
        self._effects.append(effect)

    def _send(self, address: str, message: Message) -> None:
        self._emit(Send(address=address, message=message))

    def _send_identity(self, address: str, to_id: str, nonce: int = 0) -> None:
        self._send(address, IdentityReply(header=self.header(to_id), nonce=nonce))

    def _same_founding(self, header: Header) -> bool:
        return header.founding_id == self.founding_id

    def _is_addressed(self, header: Header) -> bool:
        """Return whether a message is for this replica, not for one that lived here before."""
        return header.to_id == self.replica_id

    def _persist_term(self, term: int, voted_for: str) -> None:
        if term > self.term:
            # Whoever ended in the old term may lead the new one.
            self.gone_leader_id = ""
        self.hard_state = HardState(term=term, voted_for=voted_for)
        self._emit(PersistHardState(hard_state=self.hard_state))

    def _follow(self, term: int, reason: str) -> None:
        """Become a follower in ``term``, which is not below the current one."""
        was_leader = self.role is Role.LEADER
        if term > self.term:
            self._persist_term(term, "")
            self.leader_id = ""
            self.leader_address = ""
        if was_leader:
            self._emit(SteppedDown(term=self.term, reason=reason))
            self._leader_stopped()
        was_follower = self.role is Role.FOLLOWER
        self._settle_role()
        if not was_follower:
            self._reset_election_deadline()

    def _settle_role(self) -> None:
        """Set the role of a replica that neither leads nor campaigns."""
        if self.blank:
            self.role = Role.BLANK
        elif self.is_voter():
            self.role = Role.FOLLOWER
        else:
            self.role = Role.LEARNER

    def _reset_election_deadline(self) -> None:
        if self.configuration.voter_ids() == {self.replica_id}:
            # A sole voter has nobody to wait for.
            self.election_deadline_s = self._now_s
            return
        wait_s = self._random.uniform(self.timeout_min_s, self.timeout_max_s)
        self.election_deadline_s = self._now_s + wait_s

    def backdate_leader_contact(self, since_s: float) -> None:
        """Take into account, right after the start, that no leader was answered since ``since_s``.

        A process takes a while to load. What went by of a leader's lease need not be waited for
        again.
        """
        silence_s = self._now_s - since_s
        if silence_s <= 0 or math.isinf(self.election_deadline_s):
            return
        self.leader_contact_s = since_s
        # Replicas that start together must not campaign together, however long they took.
        self.election_deadline_s -= min(silence_s, self.config.election_timeout_min_s)

    def _stood_still(self, now_s: float, lasted_s: float) -> None:
        """Take into account that this replica did not run for a while, up to now.

        Without it a machine that was short of processor for 1.3 s lost its leader on going on:
        the leader's timer comes before the answers that the others send at once.
        """
        if self._slowness > 1:
            # The patience of a slow replica covers steps as long as its slow ones, and no longer.
            lasted_s -= self.slow_steps.lasting_s(now_s)
        if lasted_s < NOTED_FROM_S:
            return
        self.standstills.note(now_s, lasted_s)
        self.election_deadline_s += lasted_s

    def _leader_heard(self, header: Header) -> None:
        """Record a message of the current term's leader."""
        self.leader_id = header.from_id
        self.leader_address = header.from_address
        self.leader_contact_s = self._now_s
        self.leader_check_s = (
            self._now_s + LEADER_CHECK_HEARTBEATS * self.config.heartbeat_interval_s
        )
        self._reset_election_deadline()

    def _leader_ended(self) -> None:
        """Forget the leader: its process ended, and its lease with it, so nobody waits for that.

        Whatever runs at its address now can lead only in a later term.
        """
        self.gone_leader_id = self.leader_id
        self.gone_until_s = self._now_s + GONE_TIMEOUTS * self.timeout_max_s
        self.leader_id = ""
        self.leader_address = ""
        self.leader_contact_s = -math.inf

    def _is_gone(self, leader_id: str) -> bool:
        """Return whether a message of this term's leader was sent before its process ended."""
        return leader_id == self.gone_leader_id and self._now_s < self.gone_until_s

    def _campaign_soon(self) -> None:
        """Let the election begin within a short time, spread over the replicas."""
        spread_s = GONE_SPREAD_SHARE * self.config.election_timeout_min_s
        self.election_deadline_s = self._now_s + self._random.uniform(0.0, spread_s)

    def _leader_stopped(self) -> None:
        """Drop what only a leader keeps; parts of the core add their own."""
        self.progress = {}
        self.leader_id = ""
        self.leader_address = ""

    def _quorum_of(self, values: dict[str, float]) -> float:
        """Return the highest value that a quorum of voters reaches (missing ones count 0)."""
        ordered = sorted(
            (values.get(voter, 0.0) for voter in self.configuration.voter_ids()), reverse=True
        )
        return ordered[self.configuration.quorum() - 1] if ordered else 0.0

    def _term_position(self, index: int) -> LogPosition:
        term = self.log.term_at(index)
        assert term is not None
        return LogPosition(term=term, index=index)
