Feature: A store machine whose disk fails for a while comes back by itself
  A voter that never answers again, though its machine is well, uses up the loss that a deployment
  must bear: with the next one nobody is elected any more.

  Scenario Outline: A disk that does not work yet when its machine starts
    Given a ledger of 3 data nodes and 0 other nodes
    When ledger items 1 to 20 are appended through node b
    And ledger node a starts again while <the disk fails>
    And ledger items 21 to 25 are appended through node b
    Then ledger node a holds no replica
    When <it works>
    Then the ledger's replica on node a holds items 1 to 25
    And ledger node a has kept its identity

    Examples:
      | the disk fails             | it works                      |
      | its folder can't be opened | its folder can be opened again |
      | its disk is full           | its disk has room again       |

  Scenario: A disk that refuses one write
    Given a ledger of 3 data nodes and 0 other nodes
    When ledger items 1 to 5 are appended through node b
    And a write to the disk of a follower fails
    Then its node asks for the end of its process
    When that node stops and starts again
    And ledger items 7 to 10 are appended through that node
    Then its replica holds items 1 to 10 under its former identity

  Scenario: A stop while the files are still being read
    Given a ledger of 3 data nodes and 0 other nodes
    When ledger items 1 to 5 are appended through node b
    And ledger node a starts again and is stopped while it reads its files
    Then its files are not taken for damaged
    When that node starts again
    Then its replica holds items 1 to 5 under its former identity

  Scenario: The process of a store machine whose disk refuses a write
    Then a store process whose disk refuses writes ends with exit code 1 and says why
    And started again while its disk is full it waits, and serves once there is room

  Scenario: A step of a task that fails once
    Given a ledger of 3 data nodes and 0 other nodes
    When ledger items 1 to 5 are appended through node b
    And each node's elections, and its messages to each peer, fail once
    And the ledger's leader drains and stops
    Then another node leads the ledger
    And ledger item 6 is appended through the one that leads
