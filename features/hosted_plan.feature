Feature: Weight versions reach the workers with few loads
  Trainers publish versions; the plan selects the worker that loads each. Enough workers always hold
  a version that the newest jobs allow, and no more loads are made than that takes.

  Scenario: Versions named one after the other
    Then for any workers, models and lags enough workers hold a usable version and loads are bounded

  Scenario: Loads are scarce
    Given 18 workers that serve 3 models, whose versions are published faster than 2 concurrent loads can follow
    Then after each round no model has fewer than half as many usable workers as another one

  Scenario: Loads that slow each other down
    Given loads from one shared source of weights, which 3 of 18 workers saturate
    Then the limit decreases until loads are fast again, but not below 2
    And it increases to its initial value once the source has more bandwidth

  Scenario: The newest job tells the lag
    Then the lag is the one that the newest job allowed on its arrival, at most 1

  Scenario: The lease's holder has no replica of the jobs
    Given a leader of the jobs and a lease holder without a replica of them
    When a trainer's job that allows the previous version is accepted
    Then the holder knows that the trainer allows the previous version
    And it receives the newest jobs only once a second and with each new job

  Scenario: What is told of jobs comes late, twice or never
    Then a holder never replaces a model's job by an older one

  Scenario: The controller brings workers to a named version
    Given 4 workers of a model with version 1 and a controller that holds the lease
    When version 2 is published
    Then all 4 workers hold version 2, each after one order with the fencing token
    And at most 2 of them loaded concurrently

  Scenario: That a worker loads is told before it gets the order, and that it is done once it holds it
    Given 4 workers of a model with version 1 and a controller that holds the lease
    When version 2 is published
    Then all 4 workers hold version 2, each after one order with the fencing token
    And each worker's load is announced before its order arrives, and its end afterwards

  Scenario: Orders that no worker takes
    Given 4 workers of a model with version 1 and a controller that holds the lease
    And no worker accepts an order
    When version 2 is published
    Then the end of every announced load is announced

  Scenario: A trainer that allows the version before
    Given 4 workers of a model with version 1 and a controller that holds the lease
    And the trainer's jobs allow the previous version
    When versions 2 to 5 are published, each after the loads of the previous one
    Then every worker holds version 4 or 5 and at most 9 orders were sent

  Scenario: Orders that are carried out late
    Given 4 workers of a model with version 1 and a controller that holds the lease
    And each worker leaves its next order unanswered and executes it late
    When versions 2 to 4 are published, one every half second
    Then all workers reach version 4, and none ever returned to an older one

  Scenario: Without the lease
    Given 4 workers of a model with version 1 and a controller without the lease
    When version 2 is published
    Then no order is sent
