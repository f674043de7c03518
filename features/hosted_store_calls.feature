Feature: Calls to the platform's store are counted by what they are for
  Calls are charged, so each process reports their number by type in its metrics and periodically in
  its log.

  Scenario: Every sort of call and outcome
    Given a counting store in front of a stand-in of the platform's store
    When it lists, checks, watches, reads, creates, replaces and deletes
    Then each call type and outcome has its count
    And a log line reports them once

  Scenario: Refused calls are counted, too
    Given a counting store in front of a stand-in of the platform's store
    When the stand-in refuses 3 lists
    Then 3 lists are counted as not done
