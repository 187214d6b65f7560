"""One call to one upstream, as its dispatcher tracks it."""

import dataclasses

from godwitflow.policy import jobs as jobs_module
from godwitflow.policy import upstreams


@dataclasses.dataclass(slots=True, eq=False)
class Call:
    """A call that carries one or more jobs and takes one slot."""

    id: int
    upstream: upstreams.Upstream
    jobs: list[jobs_module.Job]
    started_at_ms: float
    successes_before: int
    hedge: bool = False
    cancelled: bool = False
    ended: bool = False
    aborted: bool = False

    def replies_since(self) -> int:
        """Return how many later calls to the upstream have answered."""
        return self.upstream.successes - self.successes_before

    def wanted(self) -> bool:
        """Tell whether the call runs and a job still wants its answer."""
        if self.ended:
            return False
        for job in self.jobs:
            if not job.done:
                return True
        return False

    def open_jobs(self) -> list[jobs_module.Job]:
        """Return the jobs that still want an answer."""
        return [job for job in self.jobs if not job.done]
