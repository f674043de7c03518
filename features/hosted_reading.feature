Feature: A result that was read comes again, at every gateway
  A result keeps its position and content. A gateway returns what it is sure of, 503 if no node can
  tell, and 404 only if there is no such job.

  Scenario: Readings from any position, at any gateway, in whatever state the ledger is
    Then pages are slices of the leader's list, and reads deferred only if no node has the position

  Scenario: Readings while no leader is found
    Given a job with 3 results, of which the replica of the reader's zone has 2
    When no leader is found, and each call uses its whole timeout
    Then a read from 0 returns 2 results before the client's timeout
    And a read from 2 is deferred before the client's timeout

  Scenario: The only replica that is left stands in another zone
    Given a job with 3 results, of which the replica of the reader's zone has 0
    And a replica of another zone that has all of them
    When no leader is found, and each call uses its whole timeout
    Then a read from 0 returns 3 results before the client's timeout

  Scenario: Replicas that are behind, removed, wiped or silent are asked one after the other
    Then each replica that answers is heard, and none uses more than its share of the timeout

  Scenario Outline: A page as long as clients allow
    Given a job with 40 results of 20000 <characters>
    Then each page has at most 1000000 bytes, and together they hold all results

    Examples:
      | characters  |
      | letters     |
      | line feeds  |
      | ideographs  |

  Scenario: A text that is no valid UTF-8
    Given a job with a text that holds an invalid UTF-8 byte
    Then its page can be read, with a replacement character for the byte

  Scenario: Readers whose names and jobs join to the same text
    Then results that one tenant has read are not shown to another one

  Scenario: A job that ends at any place of the log
    Then results read before the end are read after it, from snapshots and from replays

  Scenario: The log tells which results were listed, and why others were not
    Then the log has the outcome of results that are duplicate, late, unknown or lack checkpoints

  Scenario: Deferred reads are logged and counted
    Given a job with 3 results, of which the replica of the reader's zone has 2
    When no leader is found, and each call uses its whole timeout
    And 20 reads from 2 and 5 reads of an unknown job are deferred
    Then the log tells job, position and cause of the first one, and 25 are counted

  Scenario: One data node of three is left, and stands alone
    Given a ledger on three nodes with data folders, and four nodes without
    When commands are applied everywhere, and two of the nodes with data folders are cut off
    Then no leader answers, and each node still reads all of it from the replica that is left

  Scenario: Bodies of items while no leader is found
    Given a job with 3 results, of which the replica of the reader's zone has 0
    And a replica of another zone that has all of them
    When no leader is found, and each call uses its whole timeout
    Then the body of an item without a result is read, and that of an unknown item is deferred
