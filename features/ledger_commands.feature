Feature: Operators see where the ledger is, and recover lost shards
  The commands speak to the platform's store alone, so that they work whatever nodes are left.

  Scenario: The placement is shown
    Given a ledger command line before a store with a placement on nodes a, b and c
    When the ledger command "placement -o json" runs
    Then the ledger command exits with 0 and names nodes a, b and c

  Scenario Outline: A recovery is refused with its cause, and nothing is written
    Given a ledger command line before a store with a placement on nodes a, b and c
    When the ledger command "<command>" runs
    Then the ledger command exits with <code> and says "<cause>"
    And the ledger placement has generations 1 and 1

    Examples:
      | command                                         | code | cause                    |
      | recover --survivor a --shard 0                  | 2    | --lost-for-good          |
      | recover --survivor x --shard 0 --lost-for-good  | 1    | no replica on x          |
      | recover --survivor a --shard 9 --lost-for-good  | 1    | there is no shard 9      |

  Scenario: A recovery begins a generation of the named shards only
    Given a ledger command line before a store with a placement on nodes a, b and c
    When the ledger command "recover --survivor b --shard 1 --lost-for-good" runs
    Then the ledger command exits with 0 and says "shard 1 goes on as generation 2 with b"
    And the ledger placement has generations 1 and 2

  Scenario: A store that cannot be reached
    Given a ledger command line before no store
    When the ledger command "placement" runs
    Then the ledger command exits with 6 and says "refused"
