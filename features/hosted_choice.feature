Feature: A gateway's choice of workers uses the sight that gateways share

  Background:
    Given workers "a" and "b" behind a gateway that shares its sight

  Scenario: A worker that is set aside
    Given worker "a" is set aside
    When 10 requests are sent one after the other
    Then all were answered, and worker "a" ran 0 of them
    Given worker "a" may get a trial
    When 10 requests are sent one after the other
    Then all were answered, and worker "a" ran 1 of them

  Scenario: All workers are set aside
    Given worker "a" is set aside
    And worker "b" is set aside
    When 10 requests are sent one after the other
    Then all were answered, and worker "a" ran some of them

  Scenario: A further try does not go to a worker that is set aside
    Given worker "a" is set aside
    And the next request at worker "b" fails
    When 1 requests are sent one after the other
    Then the last answer is 500, and worker "a" ran 0 of them

  Scenario: Other gateways have requests at a worker
    Given other gateways have 4 requests at worker "a"
    When 10 requests are sent one after the other
    Then all were answered, and worker "a" ran 0 of them

  Scenario: A slow worker with free slots, and a sound one that has more in hand
    Given a worker that takes 4 times as long and has nothing, and a sound one with 5 of 6 slots in use
    Then 31 of 32 choices take the sound one, and the other one is looked at now and then
    And a sound one that has a queue of 4 times its slots is passed over

  Scenario: A worker tells its load
    Given worker "a" tells the load "5,2,6,300"
    And worker "b" tells the load "nonsense"
    When 10 requests are sent one after the other
    Then the sight was told 7 requests, 6 slots and a pace of 300 of worker "a", and nothing of "b"

  Scenario: What a worker told counts by its age
    Then of two workers alike the one that just told a load is chosen last, and word of a minute ago changes nothing

  Scenario: Nothing was told of any worker
    Then at any loads of its own a gateway to which nothing was told chooses as one without sight

  Scenario: Each end of a try is told as what it shows of the worker
    Then each outcome of a try is told: served, failed, refused and late ones, and none of a client that left

  Scenario: A try that takes longer than fellows do
    Given worker "a" takes its requests and never answers, and is tried first
    And fellows answer within 50 ms
    When 1 requests are sent one after the other
    Then all were answered, and the try at worker "a" was given up after twice their time and its connection closed

  Scenario: A budget that is spent
    Given the budget of further tries is spent
    And the next request at worker "a" fails
    And the next request at worker "b" fails
    When 1 requests are sent one after the other
    Then the last answer is 500, and 1 further try was refused

  Scenario: Tries at a service in trouble stay within their share
    Given 24 gateways in 3 zones that share their sight
    When each request of theirs fails at every worker for 20 s
    Then all tries stay within the budget, but for the reserve and the seconds that word takes

  Scenario: A slow worker is known to all gateways
    Given 24 gateways in 3 zones that share their sight
    When one worker of 4 takes ten times as long for 10 s
    Then all gateways have set just that worker aside
