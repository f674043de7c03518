"""A ledger with faulty leader and replicas, for reads by gateways."""

from features.support.hosted_jobs import MemoryLedger
from returns.result import Failure, Success

from bellweir.hosted.batches.state import BatchJobs
from bellweir.ledger.interface import LedgerError, LedgerErrorKind


class LaggingReplica:
    """A replica that has applied a prefix of the log."""

    def __init__(self):
        self.machine = BatchJobs()
        self.applied = 0
        self.is_member = True
        self.answers = True

    def copy(self, log, count):
        """Apply up to `count` more commands, unless the replica was removed."""
        if self.is_member:
            for command in log[self.applied : self.applied + count]:
                self.machine.apply(command)
                self.applied += 1

    def restart(self):
        """Restart from a snapshot."""
        saved = self.machine.save()
        self.machine = BatchJobs()
        self.machine.load(saved)

    def wipe(self):
        """Restart as a new member with an empty disk."""
        self.__init__()


class ReplicatedLedger(MemoryLedger):
    """The ledger as seen by one gateway; gateways share log, leader and replicas."""

    def __init__(self, shared=None, zone=0):
        super().__init__()
        self.log = shared.log if shared else []
        self.replicas = shared.replicas if shared else [LaggingReplica() for _ in range(3)]
        self.leader = shared.leader if shared else {"kind": None}
        self.machine = shared.machine if shared else self.machine
        self.zone = zone
        self.waits_s = []
        """Timeouts of the calls that were not answered."""

    def submit(self, key, command, timeout_s):
        reply = super().submit(key, command, timeout_s)
        self.log.append(command)
        return reply

    def ask(self, key, query, timeout_s):
        kind = self.leader["kind"]
        if kind is not None:
            self.waits_s.append(timeout_s)
            return Failure(LedgerError(kind, "no leader found in time"))
        return Success(self.machine.answer(query))

    def ask_nearby(self, key, query, timeout_s):
        return self._peek(self.replicas[self.zone], query, timeout_s)

    def ask_replicas(self, key, query, timeout_s):
        found = [self._peek(each, query, 0.0) for each in self.replicas]
        self.waits_s.append(timeout_s)
        return tuple(reply for reply in found if reply is not None)

    def _peek(self, replica, query, timeout_s):
        if not replica.answers:
            self.waits_s.append(timeout_s)
            return None
        return replica.machine.answer(query)


NO_LEADER = LedgerErrorKind.UNAVAILABLE
NO_OUTCOME = LedgerErrorKind.UNKNOWN
