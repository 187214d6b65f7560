"""The state that a dispatcher keeps for one call to an upstream."""

import dataclasses

from godwitflow.policy import jobs as jobs_module
from godwitflow.policy import upstreams


@dataclasses.dataclass(slots=True, eq=False)
class Call:
    """A call that carries one or more jobs and occupies one slot."""

    id: int
    upstream: upstreams.Upstream
    jobs: list[jobs_module.Job]
    started_at_ms: float
    successes_at_start: int
    hedge: bool = False
    cancelled: bool = False
    ended: bool = False
    aborted: bool = False

    def later_replies(self) -> int:
        """Return how many replies the upstream sent since the call started."""
        return self.upstream.successes - self.successes_at_start

    def is_unfinished(self) -> bool:
        """Return whether the call runs and one of its jobs is not done."""
        if self.ended:
            return False
        for job in self.jobs:
            if not job.done:
                return True
        return False

    def unfinished_jobs(self) -> list[jobs_module.Job]:
        """Return the jobs that have no result yet."""
        return [job for job in self.jobs if not job.done]
