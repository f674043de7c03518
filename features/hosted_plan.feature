Feature: Weight versions reach the workers with few loads
  Trainers name versions; the plan says which worker loads which one. Enough workers always fit the
  newest jobs, and no more loads are made than that needs.

  Scenario: Versions named one after the other
    Then at any number of workers, models and lags enough workers fit and loads stay bounded

  Scenario: Loads are scarce
    Given 18 workers that serve 3 models, whose versions are named faster than 2 loads at once can follow
    Then after any number of rounds no model has fewer than half the fitting workers of another one

  Scenario: Loads that slow each other down
    Given loads that share one source of weights, which 3 of 18 workers fill
    Then the limit falls until loads are fast again, and never below 2
    And it rises to its first value once the source is wider

  Scenario: The newest job tells the lag
    Then the lag is the distance that the newest job allowed when it came, at most 1

  Scenario: The lease's holder has no replica of the jobs
    Given a node that leads the jobs and one that holds the lease without a replica of them
    When a trainer's job that allows the version before is accepted
    Then the holder knows that the trainer allows the version before
    And it is told again once a second and with each job, and of nothing else

  Scenario: What is told of jobs comes late, twice or never
    Then a holder never goes back to an older job of a model

  Scenario: The controller brings workers to a named version
    Given 4 workers of a model with version 1 and a controller that holds the lease
    When version 2 is named
    Then all 4 workers hold version 2, each by one order under the lease's fence
    And no more than 2 of them loaded at once

  Scenario: That a worker loads is told before it gets the order, and that it is done once it holds it
    Given 4 workers of a model with version 1 and a controller that holds the lease
    When version 2 is named
    Then all 4 workers hold version 2, each by one order under the lease's fence
    And of each worker it was told that it loads before its order came, and that it is done

  Scenario: Orders that no worker takes
    Given 4 workers of a model with version 1 and a controller that holds the lease
    And no worker takes an order
    When version 2 is named
    Then of no worker it stands that it loads

  Scenario: A trainer that allows the version before
    Given 4 workers of a model with version 1 and a controller that holds the lease
    And the trainer's jobs allow the version before
    When versions 2 to 5 are named, each once the loads are done
    Then every worker holds version 4 or 5 and at most 9 orders were given

  Scenario: Orders that are carried out late
    Given 4 workers of a model with version 1 and a controller that holds the lease
    And each worker leaves its next order unanswered and carries it out late
    When versions 2 to 4 are named, one every half second
    Then all workers come to version 4, and none ever went back to an older one

  Scenario: Without the lease
    Given 4 workers of a model with version 1 and a controller without the lease
    When version 2 is named
    Then no order is given
