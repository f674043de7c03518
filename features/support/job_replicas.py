"""Replicas of batch jobs on one log, with a simulated clock."""

from features.support.hosted_jobs import make_job
from returns.result import Failure, Success

from bellweir.hosted.batches.retention import JobRetention
from bellweir.hosted.batches.state import AcceptJob, BatchJobs, EndJob
from bellweir.ledger.interface import LedgerError, LedgerErrorKind
from bellweir.ledger.machines import Codec

STATUS_S = 30.0


class Replica:
    """A node with its state machine, monotonic clock and retention task."""

    def __init__(self, shard, machine):
        self.shard = shard
        self.machine = machine
        self.applied = len(shard.log)
        self.suspended_s = 0.0
        """Time for which its monotonic clock stood still, as on a suspended machine."""
        self.begin()

    def begin(self):
        self.retention = JobRetention(self, STATUS_S, self.now_s)

    def now_s(self):
        return self.shard.now_s - self.suspended_s

    def restart(self):
        saved, self.machine = self.machine.save(), BatchJobs()
        self.machine.load(saved)
        self.begin()

    def catch_up(self):
        for command in self.shard.log[self.applied :]:
            self.machine.apply(command)
        self.applied = len(self.shard.log)

    def local_machine(self, key, make):
        return self.machine

    def leads(self, key):
        return self.shard.leader is self

    def submit(self, key, command, timeout_s):
        return self.shard.submit(command)


class Shard:
    """A log with its replicas and leader."""

    def __init__(self, count=3):
        self.now_s = 5_000.0
        self.log = []
        self.codec = Codec([BatchJobs])
        self.ended_s = {}
        """True time of each job's end."""
        self.loses = self.delays = False
        self.late = []
        """Unanswered commands that may still arrive."""
        self.replicas = [Replica(self, BatchJobs()) for _ in range(count)]
        self.leader = self.replicas[0]

    def submit(self, command):
        if self.loses or self.delays:
            if self.delays:
                self.late.append(command)
            return Failure(LedgerError(LedgerErrorKind.UNKNOWN, "test"))
        return Success(self.append(command))

    def append(self, command):
        self.log.append(self.codec.decode(self.codec.encode(command), type(command)))
        self.leader.catch_up()

    def end_job(self, gateway_s):
        """Accept a job, and end it with the wall clock of a gateway."""
        job_id = f"job-{len(self.ended_s)}"
        self.append(AcceptJob(make_job(job_id, 1, 1)))
        self.append(EndJob(job_id, gateway_s))
        self.ended_s[job_id] = self.now_s

    def check_retention(self):
        """Let all replicas catch up and check for expired jobs."""
        for replica in self.replicas:
            replica.catch_up()
            replica.retention.check()

    def age_s(self, job_id):
        """Time since a job's end."""
        return self.now_s - self.ended_s[job_id]

    def check_kept(self):
        """Let all replicas catch up; check that they have every unexpired job."""
        for replica in self.replicas:
            replica.catch_up()
            self._check_jobs(replica.machine.jobs.keys())

    def check_shown(self):
        """Check that the leader, which has applied the whole log, has every unexpired job."""
        self._check_jobs(self.leader.machine.jobs.keys())

    def _check_jobs(self, kept):
        for job_id in self.ended_s.keys() - kept:
            assert self.age_s(job_id) >= STATUS_S, (job_id, self.age_s(job_id))
