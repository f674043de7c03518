Feature: Workers that are gone for good are replaced
  The lease holder orders a desired number of workers for each zone of a service. It derives the
  number from the stable count it observes and stays within the operator's limits.

  Scenario: Workers that come back are not replaced, workers that stay away are
    Given a service with 3 stable workers in each of 2 zones
    When a worker of zone "a" is gone for 4 seconds
    Then nothing was ordered
    When a worker of zone "a" is gone for 20 seconds
    Then zone "a" was ordered to have 3 workers, again only after those had time to start

  Scenario: A planned replacement leaves a zone as it was
    Given a service with 3 stable workers in each of 2 zones
    When each worker of zone "a" is replaced, with the old and the new one ready for 4 seconds
    Then nothing was ordered

  Scenario: A zone that can have no workers
    Given a service with 3 stable workers in each of 2 zones
    And zone "a" has no capacity for workers
    When a worker of zone "a" is gone for good
    Then zone "b" was ordered to have 4 workers
    And no zone was ordered to have more

  Scenario: A list of workers that may be old
    Given a service with 3 stable workers in each of 2 zones
    And the list of workers may be 5 seconds out of date
    When a worker of zone "a" is gone for 20 seconds
    Then nothing was ordered

  Scenario: The policy that orders nothing
    Given a service with 3 stable workers in each of 2 zones and the policy "hold"
    When a worker of zone "a" is gone for 20 seconds
    Then nothing was ordered

  Scenario: Any losses, answers and holders
    Then orders stay within the limits, come from one holder at a time and restore all workers

  Scenario: The call of the platform's interface
    Then an order has its service, zone, count, holder and fencing token
