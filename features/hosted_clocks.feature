Feature: What lasts does not rest on the times of day of two machines
  The age of an ended job must not be computed from the wall clocks of two nodes: a job was forgotten
  by all replicas before `statusS` had passed when the leader's clock was ahead of the gateway's, and
  kept too long when it was behind.

  Scenario: An ended job is read again though the leader's time of day is ahead of the gateways'
    Given a job that a gateway accepted and ended
    When the leader, whose wall clock is 300 s ahead, has checked for expired jobs
    Then the results of the job can still be read

  Scenario: Leaders that change, freeze, start anew and send late, beside times of day of any kind
    Then no ended job is forgotten before its time, in any order of events
    And every ended job is forgotten soon after its time, even if the leader changes at each check

  # Guards against forgetting a job too early: a leader that resumes after a pause must not add its
  # own elapsed time to a count that others advanced meanwhile.
  Scenario: A leader that is frozen in the middle of a look
    When a leader is paused during a check while another one counts, and resumes after it caught up
    Then the job that ended before is kept for its full retention time

  Scenario: Many ended jobs
    Then the memory of jobs that end continuously is bounded by the retention time

  Scenario: Snapshots and logs of a release that counts nothing
    Then their ended jobs are kept for their full retention time and forgotten after it
    And a replica that lacks counts keeps its jobs for longer and counts along with the others

  # Guards against refused usage: settling windows of the future must not drop the current ones.
  Scenario: A holder of the lease whose time of day is ahead settles usage
    Given usage of 40 windows that was reported
    When a holder starts whose time of day is 300 s ahead, and reports for 10 s
    Then usage of the next 30 windows is settled as it was counted

  # Guards against a second report without counts for windows that the log has dropped.
  Scenario: A holder of the lease whose time of day is behind reports usage
    Given usage of 90 windows that was reported
    When a holder starts whose time of day is -300 s ahead, and reports for 10 s
    Then no window was reported with other counts than before
