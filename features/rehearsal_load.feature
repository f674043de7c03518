Feature: The rehearsal kit's load is what was asked for
  Load is open loop: a request is sent when it is due, whether or not earlier ones are answered,
  and its latency counts from then.

  Scenario: Poisson arrivals have the rate asked for
    Given any rehearsal load rate, duration and seed
    Then the rehearsal arrivals are ascending, within the duration, and as many as the rate gives
    And the rehearsal arrivals are the same again for the same seed

  Scenario: Bursts and days have the rate asked for at each time
    Given any rehearsal load rate, duration and seed
    Then rehearsal bursts hold the burst's share of the arrivals
    And a rehearsal day has most of its arrivals around its middle

  Scenario: A trace is replayed at its times
    Given a rehearsal trace file of ascending times
    Then the replayed rehearsal arrivals are those times divided by the speed
    And a rehearsal trace whose time goes back is refused with its line

  Scenario: Lengths are heavy-tailed with the median asked for
    Given any rehearsal length model
    Then half of the rehearsal lengths are below the median and none exceeds 20 medians

  Scenario: Requests are sent when due although none is answered
    Given a rehearsal load against callers that don't answer until all requests are due
    When the rehearsal load runs
    Then every rehearsal request was sent before the first answer
    And the rehearsal latencies count from when each request was due

  Scenario: Load is bounded in count
    Given a rehearsal load of at most 7 requests
    When the rehearsal load runs
    Then 7 rehearsal requests were sent

  Scenario: A random schedule of faults is replayed by its seed
    Given any rehearsal seed and both shipped deployments
    Then the rehearsal schedule is the same for the same seed and has only targets that exist
    And in ten minutes every kind of fault comes up, also in pairs
    And the rehearsal schedule never loses two disks within forty seconds

  Scenario: A deployment file's faults are found together
    Given a rehearsal deployment file with an unknown key, a negative delay and no zones
    Then reading the deployment finds all three with their key paths
