Feature: The ledger is one truth that outlives a process
  Commands are appended by majority on replicas in different zones, in one order for each shard.

  Scenario: A ledger of one node takes commands
    Given a ledger of 1 data nodes and 0 other nodes
    When ledger items 1 to 5 are appended through node a
    Then the ledger gives items 1 to 5 through node a

  Scenario Outline: The first placement is decided once, whatever becomes of the write's answer
    Given a ledger of 3 data nodes whose first write to the store is <fate>
    When ledger items 1 to 3 are appended through node a
    And ledger items 4 to 6 are appended through node b
    Then the ledger gives items 1 to 6 through node c

    Examples:
      | fate         |
      | answer lost  |
      | request lost |

  Scenario: Few but large entries are compacted, too
    Then a log of large entries stays within its bound in memory and loses nothing

  Scenario: A replica whose disk is gone is not sent the log again and again
    Then a replica that does not answer gets heartbeats without entries

  Scenario: Any node appends and reads, with or without a data folder
    Given a ledger of 3 data nodes and 1 other nodes
    When ledger items 1 to 5 are appended through node z
    And ledger items 6 to 10 are appended through node a
    Then the ledger gives items 1 to 10 through node z
    And the ledger gives items 1 to 10 through node c

  Scenario: A reader's own zone answers what it has
    Given a ledger of 3 data nodes and 1 other nodes
    When ledger items 1 to 5 are appended through node z
    Then a follower in its zone gives node z a beginning of items 1 to 5, and in time all of them
    And without a follower in its zone node z gets no answer nearby

  Scenario: What was appended outlives every process, and the platform's store
    Given a ledger of 3 data nodes and 1 other nodes
    When ledger items 1 to 40 are appended through node a
    And the ledger's platform store goes down
    And every ledger node stops and starts again
    Then the ledger gives items 1 to 40 through node z

  Scenario: A stopped leader hands over and a cut-off one is replaced
    Given a ledger of 3 data nodes and 1 other nodes
    When ledger items 1 to 5 are appended through node z
    And the ledger's leader drains and stops
    And ledger items 6 to 10 are appended through node z
    Then the ledger gives items 1 to 10 through node z

  Scenario: Without a majority a command is refused and never applied
    Given a ledger of 3 data nodes and 1 other nodes
    When ledger items 1 to 5 are appended through node z
    And all ledger data nodes but the leader are cut off
    Then a ledger item 6 through node z has no success
    When the cut-off ledger nodes are reached again
    And ledger items 7 to 9 are appended through node z
    Then the ledger gives items 1 to 9 with or without 6 through node z

  Scenario: A node that lost its disk rejoins as a learner and becomes a voter again
    Given a ledger of 3 data nodes and 1 other nodes
    When ledger items 1 to 40 are appended through node z
    And ledger node a loses its disk and starts again
    Then node a becomes a ledger voter under its new identity
    And the ledger's replica on node a holds items 1 to 40

  Scenario: Replicas are mended while the platform's store hangs
    Given a ledger of 3 data nodes and 1 other nodes
    When ledger items 1 to 5 are appended through node z
    And the ledger's platform store hangs
    And ledger node a loses its disk and starts again
    Then node a becomes a ledger voter under its new identity
    When the ledger's leader drains and stops
    Then ledger item 6 is appended through node z

  Scenario: A leaving node leads nothing while its own requests still end
    Given a ledger of 3 data nodes and 1 other nodes
    When ledger items 1 to 5 are appended through node z
    And the ledger's leader announces that it leaves
    Then another node leads the ledger
    And the leaving node leads it never again, while others do
    And ledger item 6 is appended through node z

  Scenario: A leader whose disk fails gives up its shards
    Given a ledger of 3 data nodes and 1 other nodes
    When ledger items 1 to 5 are appended through node z
    And the disk of the ledger's leader fails
    Then a ledger item 6 through node z has no success, or is there
    And another node leads the ledger
    When ledger items 7 to 9 are appended through node z
    Then the ledger gives items 1 to 9 with or without 6 through node z

  Scenario: When all nodes leave at once none waits for another to lead
    Given a ledger of 3 data nodes and 1 other nodes
    When ledger items 1 to 5 are appended through node z
    And every ledger node announces that it leaves
    Then no ledger node has a shard to hand over

  Scenario: A stopping node acknowledges nothing and reports no failure
    Given a ledger of 3 data nodes and 1 other nodes
    When ledger items 1 to 5 are appended through node z
    Then a ledger node whose journal is closed answers appends without acknowledging them

  Scenario: A node that is gone for good is replaced by a spare one
    Given a ledger of 4 data nodes and 1 other nodes
    When ledger items 1 to 5 are appended through node z
    And one follower of the ledger stops for good
    Then no ledger call or segment is sent to the dead node
    And the ledger's voters are 3 nodes that run
    And the ledger gives items 1 to 5 through node z

  Scenario Outline: A node that is to be emptied hands its replica to another one
    Given a ledger of 4 data nodes and 1 other nodes
    When ledger items 1 to 5 are appended through node z
    And the ledger's <which> is to be emptied
    Then it is told to be empty only once 3 others hold the ledger
    And the ledger gives items 1 to 5 through node z

    Examples:
      | which    |
      | follower |
      | leader   |

  Scenario: A node is not emptied while too few others could hold the ledger
    Given a ledger of 3 data nodes and 1 other nodes
    When ledger items 1 to 5 are appended through node z
    And the ledger's follower is to be emptied
    Then it keeps its replica and is not told to be empty

  Scenario: Bulk data is read back from another replica
    Given a ledger of 3 data nodes and 1 other nodes
    When a ledger segment is put through node z
    Then the ledger segment is on 2 data nodes
    And the ledger segment is read through every node

  Scenario: Bulk data where two disks may be lost at once
    Given a ledger of 5 data nodes with 5 replicas
    When a ledger segment is put through node a
    Then the ledger segment is on 3 data nodes

  Scenario: Bulk data that only one node could hold is not acknowledged
    Given a ledger of 3 data nodes and 1 other nodes
    When ledger items 1 to 5 are appended through node z
    And all ledger data nodes but one stop for good
    Then a ledger segment that is put through node z is not acknowledged
