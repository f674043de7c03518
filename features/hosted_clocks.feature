Feature: What lasts does not rest on the times of day of two machines
  Symptom: a batch job that had been accepted, read and ended was answered 404 seconds later, at
  every node and for good, though it was owed for `statusS`.
  Sequence: a gateway writes its time of day into the job and into its end; the machine that leads
  the jobs has a time of day that is more than `statusS` ahead; it looks for what is old.
  Cause: the leader took the difference of the two times of day for the job's age, and what it
  forgets is forgotten by all replicas. The other way round, with the gateway's time of day ahead,
  jobs stayed for as long as the two differed.
  Settled by: the lines `oldest_s = time.time() - status_s` and `max(ended_at_s, accepted_at_s) <
  oldest_s`, and the first scenario below: with the leader 300 s ahead and `statusS` 120, a job that
  was ended an instant ago is named in `ForgetJobs` at the next look.

  Scenario: An ended job is read again though the leader's time of day is ahead of the gateways'
    Given a job that a gateway accepted and ended
    When the leader, whose time of day is 300 s ahead, has looked for jobs that are old
    Then the job is read again

  Scenario: Leaders that change, freeze, start anew and send late, beside times of day of any kind
    Then no ended job is forgotten before its time, in any order of events
    And every ended job is forgotten soon after its time, though the leader changes at each look

  # Symptom: an ended job was answered 404 before its time. Sequence: a leader is frozen after it
  # has noted the count, and goes on while what others counted meanwhile is applied. Cause: its own
  # time since the count that it noted was added to the newer count. Settled by: 28 s of 30.
  Scenario: A leader that is frozen in the middle of a look
    When a leader is frozen in a look while another one counts, and goes on when it has caught up
    Then the job that ended before is kept for its whole time

  Scenario: Many ended jobs
    Then jobs that end all the time take no more room than those of the time for which they are owed

  Scenario: Snapshots and logs of a release that counts nothing
    Then their ended jobs are kept for their whole time, and forgotten after it
    And a replica that lacks counts keeps its jobs for longer, and counts on with the others

  # Symptom: the usage of minutes was refused as too late, at every gateway. Sequence: a store
  # machine starts while its time of day is ahead, holds the lease and settles windows that are yet
  # to come. Cause: a settled window made the log forget all windows 24 and more before it, with
  # what had been told of them. Settled by: `_forget_old(window - KEPT_WINDOWS)`, and 300 s ahead.
  Scenario: A holder of the lease whose time of day is ahead settles usage
    Given usage of 40 windows that was reported
    When a holder starts whose time of day is 300 s ahead, and reports for 10 s
    Then usage of the next 30 windows is settled as it was counted

  # Symptom: a window was reported a second time, without any counts. Sequence: a holder starts
  # whose time of day is behind, and settles windows that the log has forgotten. Cause: the log
  # answered these as settled with no counts. Settled by: `settled.get(window, {})`, 300 s behind.
  Scenario: A holder of the lease whose time of day is behind reports usage
    Given usage of 90 windows that was reported
    When a holder starts whose time of day is -300 s ahead, and reports for 10 s
    Then no window was reported with other counts than before
