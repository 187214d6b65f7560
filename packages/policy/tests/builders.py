"""Builders of test values that several test modules share."""

from godwitflow.model import ids
from godwitflow.policy import crash_suspects
from godwitflow.policy import dispatcher
from godwitflow.policy import jobs
from godwitflow.settings import config

PRIORITIES = {
    "steward": config.Priority(0, 150.0, 600.0),
    "conductor": config.Priority(1, 500.0, 1_500.0, 0.2),
    "clerk": config.Priority(2, 2_000.0, 4_000.0, 0.05),
}


def service(**changes):
    """Return a service with three ranks and two slots per upstream."""
    return config.Service("index/s", PRIORITIES, **changes)


def replica_set(members=("a", "b", "c"), table=None, cold=False, **changes):
    """Return a dispatcher with upstreams that have run no calls yet."""
    return dispatcher.ReplicaSetDispatcher(
        "r0",
        service(**changes),
        members,
        table or crash_suspects.CrashSuspects(),
        seed=1,
        cold=cold,
    )


def job(piece_id, **changes):
    """Return an idempotent job of the most urgent rank."""
    fields = {
        "front_node": "f1",
        "piece_id": ids.PieceId(piece_id),
        "query_id": f"q{piece_id}",
        "service": "s",
        "shard": "s0",
        "snapshot": 1,
        "rank": 0,
        "deadline_at_ms": 600.0,
        "tie_breaker": piece_id,
        "idempotent": True,
        "canary": False,
        "fingerprint": piece_id,
        "payload": b"1",
    }
    return jobs.Job(**{**fields, **changes})


def ok(call, snapshot=1):
    """Return a reply with rows for each job of a call."""
    items = tuple(
        jobs.ItemOk(job.piece_key, job.shard, snapshot, b"[1]")
        for job in call.jobs
    )
    return jobs.CallDone(items)


def starts(actions):
    """Return the ``StartCall`` actions."""
    return [action for action in actions if isinstance(action, jobs.StartCall)]


def replies(actions):
    """Return the ``Reply`` actions."""
    return [action for action in actions if isinstance(action, jobs.Reply)]
