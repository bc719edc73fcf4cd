"""Tests the queue of pending items: its derived tables and the fairness between tenants."""

from __future__ import annotations

import random
import sqlite3
from collections import Counter

import pytest
from tests.unit.batch_machine import START_MS, Machine, items, outcome, spec

from leverjunction.batch.commands import (
    AcceptJob,
    AppendItems,
    CancelJob,
    ExpireDeadlines,
    ExpiredLeases,
    ExpireLeases,
    JobView,
    OpenedJob,
    OpenJob,
)
from leverjunction.batch.leasing import MIN_TURN_ITEMS

TENANTS = 20


@pytest.fixture
def machine() -> Machine:
    return Machine()


def test_turns_and_totals_match_the_items_after_every_change(machine: Machine) -> None:
    generator = random.Random(5)
    for number in range(40):
        job_id, tenant = f"j{number}", f"t{generator.randrange(4)}"
        parameters = {"tenant": tenant, "deadline_ms": START_MS + 1_000 + generator.randrange(900)}
        machine.apply(OpenJob(spec(job_id, item_count=4, **parameters)), OpenedJob)
        machine.apply(AppendItems(job_id, 0, items(2) + items(2, model="n")), JobView)
        machine.apply(AcceptJob(job_id), JobView)
        models = generator.choice([("m",), ("n",), ("m", "n")])
        lease = machine.grant(f"l{number}", generator.randrange(1, 8), models)
        match generator.randrange(5):
            case 0:
                machine.apply(ExpireLeases([lease.lease_id]), ExpiredLeases)
            case 1:
                machine.complete(lease.lease_id, *[outcome(item) for item in lease.items])
            case 2:
                machine.apply(CancelJob(f"j{generator.randrange(number + 1)}"), JobView)
            case 3:
                # A late result removes a returned item from the queue.
                machine.apply(ExpireLeases([lease.lease_id]), ExpiredLeases)
                machine.complete(lease.lease_id, *[outcome(item) for item in lease.items])
        if number == 30:
            machine.wall_ms = START_MS + 1_500
            machine.apply(ExpireDeadlines(), ExpiredLeases)
        check_queue(machine.connection)


@pytest.mark.parametrize(("weight_milli", "served"), [(500, 10), (1000, 15), (2000, 20)])
def test_share_of_a_tenant_is_proportional_to_the_weight_of_its_class(
    machine: Machine, weight_milli: int, served: int
) -> None:
    for job_id, tenant, weight in (("a", "kilimo", weight_milli), ("b", "hanbit", 1000)):
        machine.apply(OpenJob(spec(job_id, item_count=100, tenant=tenant)), OpenedJob)
        machine.apply(AppendItems(job_id, 0, items(100)), JobView)
        machine.apply(AcceptJob(job_id, weight_milli=weight), JobView)
    leases = [machine.grant(f"l{number}", max_items=2) for number in range(15)]
    tenants = [item.tenant for lease in leases for item in lease.items]
    assert abs(tenants.count("kilimo") - served) <= 1


def test_many_tenants_are_served_in_turns_of_several_items(machine: Machine) -> None:
    for number in range(TENANTS):
        machine.submit(f"j{number}", 40, tenant=f"t{number:02}")
    served: Counter[str] = Counter({f"t{number:02}": 0 for number in range(TENANTS)})
    for number in range(TENANTS):
        tenants = [item.tenant for item in machine.grant(f"l{number}", max_items=16).items]
        assert len(tenants) == 16
        assert len(set(tenants)) <= 16 / MIN_TURN_ITEMS
        served.update(tenants)
        assert max(served.values()) - min(served.values()) <= MIN_TURN_ITEMS
    # A tenant that joins is served within one round of turns of all tenants.
    machine.submit("new", 1, tenant="u")
    rounds = range(TENANTS * MIN_TURN_ITEMS // 16 + 1)
    leases = [machine.grant(f"n{number}", max_items=16) for number in rounds]
    assert "u" in {item.tenant for lease in leases for item in lease.items}


def check_queue(connection: sqlite3.Connection) -> None:
    """Compare the stored turns and totals with those computed from the pending items."""
    turns = connection.execute(
        "SELECT service, tenant, model, served FROM sm_turns ORDER BY 1, 2, 3"
    )
    expected_turns = connection.execute(
        """
        SELECT DISTINCT job.service, job.tenant, item.model, share.served
        FROM sm_pending AS item JOIN sm_jobs AS job ON job.number = item.job
        JOIN sm_shares AS share USING (service, tenant)
        WHERE job.state = 'accepted' ORDER BY 1, 2, 3
        """
    )
    assert turns.fetchall() == expected_turns.fetchall()
    totals = connection.execute(
        "SELECT service, tenants, pending FROM sm_waiting WHERE pending > 0"
    )
    expected_totals = connection.execute(
        """
        SELECT job.service, COUNT(DISTINCT job.tenant), COUNT(*)
        FROM sm_pending AS item JOIN sm_jobs AS job ON job.number = item.job
        WHERE job.state = 'accepted' GROUP BY job.service
        """
    )
    assert totals.fetchall() == expected_totals.fetchall()
