Feature: Calls to the platform's store are counted by what they are for
  Each call has its price, so a process tells how many it made of each sort, in its metrics and now
  and then in its log.

  Scenario: Every sort of call and outcome
    Given a counted store before a stand-in of the platform's store
    When it lists, checks, watches, reads, creates, replaces and deletes
    Then each sort and outcome has its count
    And a line tells them once

  Scenario: Refused calls are counted, too
    Given a counted store before a stand-in of the platform's store
    When the stand-in refuses 3 lists
    Then 3 lists are counted as not done
