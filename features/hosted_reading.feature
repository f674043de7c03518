Feature: A result that was read comes again, at every gateway
  A result keeps its position and content. A gateway shows what it knows for sure, says 503 where
  nobody can tell, and 404 only where there is no such job.

  Scenario: Readings from any position, at any gateway, in whatever state the ledger is
    Then each page is a part of the leader's list, and put off only while nobody knows the position

  Scenario: Readings while no leader is found
    Given a job with 3 results, of which the replica of the reader's zone has 2
    When no leader is found, and each call takes all of its time
    Then a reading from 0 shows 2 results before its client gives up
    And a reading from 2 is put off before its client gives up

  Scenario: The only replica that is left stands in another zone
    Given a job with 3 results, of which the replica of the reader's zone has 0
    And a replica of another zone that has all of them
    When no leader is found, and each call takes all of its time
    Then a reading from 0 shows 3 results before its client gives up

  Scenario: Replicas that are behind, removed, wiped or silent are asked one after the other
    Then a node hears each replica that answers, and none takes more than its share of the time

  Scenario Outline: A page as long as clients allow
    Given a job with 40 results of 20000 <characters>
    Then each page of it has at most 1000000 bytes, and all of them come

    Examples:
      | characters  |
      | letters     |
      | line feeds  |
      | ideographs  |

  Scenario: A text that is no valid UTF-8
    Given a job with a text that holds a lone byte
    Then its page is read, with the byte marked as not valid

  Scenario: Readers whose names and jobs join to the same text
    Then what one tenant has been shown is not shown to another one

  Scenario: A job that ends at any place of the log
    Then what was read before the end is read after it, from snapshots and replays alike

  Scenario: The log tells which results were listed, and why others were not
    Then of results that come twice, late, unknown or without their parts the log tells what became

  Scenario: Readings that are put off are told and counted
    Given a job with 3 results, of which the replica of the reader's zone has 2
    When no leader is found, and each call takes all of its time
    And 20 readings from 2 and 5 readings of an unknown job are put off
    Then the log tells the first one: job, position and what was missing; and 25 are counted

  Scenario: One data node of three is left, and stands alone
    Given a ledger on three nodes with data folders, and four nodes without
    When commands are applied everywhere, and two of the nodes with data folders are cut off
    Then no leader answers, and each node still reads all of it from the replica that is left

  Scenario: Bodies of items while no leader is found
    Given a job with 3 results, of which the replica of the reader's zone has 0
    And a replica of another zone that has all of them
    When no leader is found, and each call takes all of its time
    Then the body of an item that is not listed is read, and that of another job's item is put off
