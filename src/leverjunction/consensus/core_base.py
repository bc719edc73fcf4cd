"""State of the pure Raft core, and the operations that all its parts share.

A *blank* replica belongs to no founding (bootstrap) of the group yet: it has no configuration and
does not vote. A leader leads under a *lease*, and steps down when no quorum has replied within it.
"""

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

LEASE_FRACTION = 0.9
"""Lease of a leader as a fraction of the shortest election timeout; the rest allows for clock
drift between replicas.
"""

STEPS_PER_ROUND = 4
"""Steps that a round trip from a leader may wait for: the current one and the next, on both sides.
"""

MAX_SLOW_TIMEOUT_S = 3.0
"""Upper bound of the election timeout of a slow replica, in seconds. It bounds how long a failed
leader goes unreplaced.
"""

LEADER_PROBE_HEARTBEATS = 1.5
"""Heartbeat intervals without a message from the leader after which a follower checks whether the
leader's process is still running.
"""

EARLY_ELECTION_SPREAD_FRACTION = 0.25
"""Followers that learn that the leader's process has ended campaign at a random time within this
fraction of the shortest election timeout.
"""

DEAD_LEADER_TIMEOUTS = 2.0
"""For how many of the longest election timeouts messages of a dead leader do not count as contact
in its term. Delayed messages would hold up the election (3.2 s without a leader instead of 0.7 s
in the simulator). The election is over by then, and a leader that was reported dead by mistake
counts again.
"""


class CoreBase:
    """Consensus state of one replica.

    Not thread-safe: a single driver calls it. Attributes are public so that the simulator's
    checkers can read them.
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
        # A restarted voter may have replied to a leader just before, so it honours that lease.
        self.leader_contact_s = now_s
        self.leader_probe_due_s = math.inf
        """When to check whether the leader's process is running, unless a message comes first."""
        self.caught_up_s = -math.inf
        """When a leader's message last showed that this replica holds every committed entry."""
        self.election_deadline_s = math.inf
        self.dead_leader_id = ""
        """Leader of this term whose process has ended, while delayed messages may still arrive."""
        self.dead_leader_until_s = -math.inf
        self.lost_voters = LostVoters()
        self.progress: dict[str, Progress] = {}
        self.leader_since_s = 0.0
        self.slow_steps = SlowSteps()
        self.standstills = Standstills()
        self._random = random
        self._now_s = now_s
        self._effects: list[Effect] = []
        self._reset_role()
        self._reset_election_deadline()

    @property
    def term(self) -> int:
        """Current term."""
        return self.hard_state.term

    @property
    def configuration(self) -> Configuration:
        """Configuration in force: the latest one in the log, committed or not."""
        return self.log.configuration

    @property
    def blank(self) -> bool:
        """Whether this replica belongs to no founding of the group."""
        return self.founding_id == ""

    @property
    def _timeout_factor(self) -> float:
        """Factor by which this replica's timeouts are extended; 1 when its steps are fast.

        With a fixed election timeout of 0.4 s and syncs of 0.3 s, no leader lasted until its first
        round was acknowledged. The factor may differ between replicas without a risk to safety,
        since commits and reads need replies of a quorum in the leader's own term.
        """
        shortest_s = self.config.election_timeout_min_s
        wanted = STEPS_PER_ROUND * self.slow_steps.sustained_s(self._now_s) / shortest_s
        return max(1.0, min(wanted, MAX_SLOW_TIMEOUT_S / self.config.election_timeout_max_s))

    @property
    def timeout_min_s(self) -> float:
        """Shortest election timeout of this replica, in seconds."""
        return self.config.election_timeout_min_s * self._timeout_factor

    @property
    def timeout_max_s(self) -> float:
        """Longest election timeout of this replica, in seconds."""
        return self.config.election_timeout_max_s * self._timeout_factor

    @property
    def lease_s(self) -> float:
        """How long a leader keeps leading after its last contact with a quorum, in seconds."""
        return self.timeout_min_s * LEASE_FRACTION

    def is_voter(self) -> bool:
        """Return whether the configuration in force lists this replica as a voter."""
        return self.replica_id in self.configuration.voter_ids()

    def majority_lost(self) -> bool:
        """Return whether no leader can be elected because too many voters lost their disks."""
        return not self.leader_address and self.lost_voters.is_majority_lost(self.configuration)

    def header(self, to_id: str, term: int | None = None) -> Header:
        """Return the header of a message from this replica.

        Args:
            to_id: Replica id of the receiver; empty when any replica at the address may answer.
            term: Term to send; the current term by default.
        """
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
        """Return whether a message is for this replica, not for an earlier one at its address."""
        return header.to_id == self.replica_id

    def _persist_term(self, term: int, voted_for: str) -> None:
        if term > self.term:
            # A leader that died in the old term may lead the new one.
            self.dead_leader_id = ""
        self.hard_state = HardState(term=term, voted_for=voted_for)
        self._emit(PersistHardState(hard_state=self.hard_state))

    def _become_follower(self, term: int, reason: str) -> None:
        """Become a follower in ``term``, which must not be less than the current term.

        Args:
            term: Term to follow in; a higher one than the current is persisted.
            reason: Why a leader steps down, for its log line and the callers that wait.
        """
        was_leader = self.role is Role.LEADER
        if term > self.term:
            self._persist_term(term, "")
            self.leader_id = ""
            self.leader_address = ""
        if was_leader:
            self._emit(SteppedDown(term=self.term, reason=reason))
            self._clear_leader_state()
        was_follower = self.role is Role.FOLLOWER
        self._reset_role()
        if not was_follower:
            self._reset_election_deadline()

    def _reset_role(self) -> None:
        """Set the role to blank, follower or learner, as the configuration in force says."""
        if self.blank:
            self.role = Role.BLANK
        elif self.is_voter():
            self.role = Role.FOLLOWER
        else:
            self.role = Role.LEARNER

    def _reset_election_deadline(self) -> None:
        if self.configuration.voter_ids() == {self.replica_id}:
            # A single voter is a quorum by itself.
            self.election_deadline_s = self._now_s
            return
        wait_s = self._random.uniform(self.timeout_min_s, self.timeout_max_s)
        self.election_deadline_s = self._now_s + wait_s

    def backdate_leader_contact(self, since_s: float) -> None:
        """Move the last possible contact with a leader back to ``since_s``, right after the start.

        A process takes a while to load, and the replica answers no leader meanwhile. The part of
        a leader's lease that has passed in that time need not be waited for again.

        Args:
            since_s: Monotonic time since which this replica has answered no leader, in seconds.
        """
        silence_s = self._now_s - since_s
        if silence_s <= 0 or math.isinf(self.election_deadline_s):
            return
        self.leader_contact_s = since_s
        # Keeps the random spread, so that replicas that start together do not campaign together.
        self.election_deadline_s -= min(silence_s, self.config.election_timeout_min_s)

    def _on_standstill(self, now_s: float, lasted_s: float) -> None:
        """Exclude a pause of this replica from its timeouts.

        Without this, a group on a machine that was starved of CPU for 1.3 s lost its leader on
        resuming: the leader's timer is handled before the replies that the others send at once.

        Args:
            now_s: Monotonic time at which the pause ended, in seconds.
            lasted_s: Length of the pause, in seconds.
        """
        if self._timeout_factor > 1:
            # The longer timeouts of a slow replica cover only steps as long as its slow ones.
            lasted_s -= self.slow_steps.sustained_s(now_s)
        if lasted_s < NOTED_FROM_S:
            return
        self.standstills.note(now_s, lasted_s)
        self.election_deadline_s += lasted_s

    def _record_leader_contact(self, header: Header) -> None:
        """Record a message from the leader of the current term."""
        self.leader_id = header.from_id
        self.leader_address = header.from_address
        self.leader_contact_s = self._now_s
        self.leader_probe_due_s = (
            self._now_s + LEADER_PROBE_HEARTBEATS * self.config.heartbeat_interval_s
        )
        self._reset_election_deadline()

    def _mark_leader_dead(self) -> None:
        """Forget the leader, whose process has ended; there is no lease left to wait for.

        A process that now runs at the leader's address can lead only in a later term.
        """
        self.dead_leader_id = self.leader_id
        self.dead_leader_until_s = self._now_s + DEAD_LEADER_TIMEOUTS * self.timeout_max_s
        self.leader_id = ""
        self.leader_address = ""
        self.leader_contact_s = -math.inf

    def _is_dead_leader(self, leader_id: str) -> bool:
        """Return whether this is a dead leader of this term, whose messages are delayed ones."""
        return leader_id == self.dead_leader_id and self._now_s < self.dead_leader_until_s

    def _schedule_early_election(self) -> None:
        """Schedule an election within a short random time, which differs between replicas."""
        spread_s = EARLY_ELECTION_SPREAD_FRACTION * self.config.election_timeout_min_s
        self.election_deadline_s = self._now_s + self._random.uniform(0.0, spread_s)

    def _clear_leader_state(self) -> None:
        """Drop the state that only a leader keeps; subclasses extend this."""
        self.progress = {}
        self.leader_id = ""
        self.leader_address = ""

    def _quorum_of(self, values: dict[str, float]) -> float:
        """Return the highest value that a quorum of voters has reached.

        Args:
            values: Value by replica id; a voter without a value counts as 0.
        """
        ordered = sorted(
            (values.get(voter, 0.0) for voter in self.configuration.voter_ids()), reverse=True
        )
        return ordered[self.configuration.quorum() - 1] if ordered else 0.0

    def _term_position(self, index: int) -> LogPosition:
        term = self.log.term_at(index)
        assert term is not None
        return LogPosition(term=term, index=index)
