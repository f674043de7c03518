Feature: A request that must not be repeated runs at most once
  A key is claimed in the ledger before its single attempt. Whoever asks again gets the recorded
  outcome, or that it is unknown.

  Scenario: Claims against an oracle that counts attempts
    Then claims let no key run twice, in any order of commands, over 150 runs

  Scenario: Replicas of claims agree through snapshots
    Then two replicas of claims give the same replies though one is saved and loaded

  Scenario: A claim whose answer was lost is set free
    Given a ledger of 3 data nodes and 1 other nodes
    When a claim through node z gets no answer, though it was appended
    Then the claimed key can be claimed again and runs once

  Scenario: A stop does not wait for a claim to be set free
    Given a ledger of 3 data nodes and 1 other nodes
    And a claim of each kind made through node z
    When all ledger data nodes but the leader are cut off
    And a claim through node z is left undecided
    Then the claims of node z end their releases when they stop

  Scenario: A release overtakes its claim
    Given claims where a release came before its claim
    Then the late claim permits no attempt, and another one is permitted

  Scenario: A claim of an attempt that did not run comes again
    Given claims where two attempts of a key did not run
    Then a late repeat of either claim permits no attempt and leaves the key free

  Scenario: A majority lost for good, and an operator's recovery
    Given a ledger of 3 data nodes and 1 other nodes
    And a claim of each kind made through node z
    When all ledger data nodes but one are lost for good
    And an operator recovers every shard of the ledger with the node that is left
    Then a completed claim of before is answered with its recorded answer
    And an unfinished claim of before is unknown through every node that is left
    And a key that may come from before is unknown and never runs
    And a key made after the recovery is claimed
    When a lost ledger node comes back with its old disk
    Then it drops what it held and becomes a ledger voter again
