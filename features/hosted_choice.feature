Feature: A gateway selects workers by statistics shared between gateways

  Background:
    Given workers "a" and "b" behind a gateway with shared worker statistics

  Scenario: An ejected worker
    Given worker "a" is ejected
    When 10 requests are sent one after the other
    Then all were answered, and worker "a" ran 0 of them
    Given worker "a" may be probed
    When 10 requests are sent one after the other
    Then all were answered, and worker "a" ran 1 of them

  Scenario: All workers are ejected
    Given worker "a" is ejected
    And worker "b" is ejected
    When 10 requests are sent one after the other
    Then all were answered, and worker "a" ran some of them

  Scenario: A retry does not go to an ejected worker
    Given worker "a" is ejected
    And the next request at worker "b" fails
    When 1 requests are sent one after the other
    Then the last response is 500, and worker "a" ran 0 of them

  Scenario: Other gateways have requests at a worker
    Given other gateways have 4 requests in flight at worker "a"
    When 10 requests are sent one after the other
    Then all were answered, and worker "a" ran 0 of them

  Scenario: A slow worker with free slots, and a healthy one that is busier
    Given an idle worker that takes 4 times as long, and a healthy one with 5 of 6 slots in use
    Then 31 of 32 choices take the healthy worker, and the others take the slow one
    And a healthy worker with 4 times its slots in flight is not chosen

  Scenario: A worker reports its load
    Given worker "a" reports the load "5,2,6,300"
    And worker "b" reports the load "nonsense"
    When 10 requests are sent one after the other
    Then the monitor got 7 requests, 6 slots and a pace of 300 for worker "a", and nothing for "b"

  Scenario: A load reported by a worker counts by its age
    Then of two equal workers the one that just reported a load is ranked last, and a report a minute old has no effect

  Scenario: No shared statistics of any worker
    Then a gateway without shared statistics of any worker ranks workers as one without a monitor, at any local load

  Scenario: Each outcome of an attempt is reported to the monitor
    Then each outcome of an attempt is reported: success, failure, refusal and timeout, and unknown if the client left

  Scenario: An attempt that takes longer than the service's workers usually do
    Given worker "a" accepts requests without responding, and is tried first
    And the service's 95th percentile latency is 50 ms
    When 1 requests are sent one after the other
    Then all were answered, and the attempt at worker "a" timed out after twice that latency and its connection was closed

  Scenario: The retry budget is spent
    Given the retry budget is spent
    And the next request at worker "a" fails
    And the next request at worker "b" fails
    When 1 requests are sent one after the other
    Then the last response is 500, and 1 retry was refused

  Scenario: Retries at a failing service stay within the budget
    Given 24 gateways in 3 zones that share worker statistics
    When all requests of these gateways fail at every worker for 20 s
    Then all retries stay within the budget, except for the reserve and the propagation time

  Scenario: A slow worker is known to all gateways
    Given 24 gateways in 3 zones that share worker statistics
    When one worker of 4 takes ten times as long for 10 s
    Then all gateways have ejected exactly that worker
