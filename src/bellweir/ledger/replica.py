"""One replica of one shard, in whichever role it has."""

from bellweir.ledger.following import Following
from bellweir.ledger.leading import Leading
from bellweir.ledger.voting import Voting


class Replica(Voting, Following, Leading):
    """A replica: see `replica_state` for its source and its rules on locks and I/O."""
