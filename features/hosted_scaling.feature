Feature: Workers that are gone for good are replaced
  The holder of the duties' lease orders how many workers each zone of a service holds. It learns
  what a zone holds at rest by watching, and never orders outside of what the operator allows.

  Scenario: Workers that come back are not replaced, workers that stay away are
    Given a service with 3 workers in each of 2 zones, at rest
    When a worker of zone "a" is gone for 4 seconds
    Then nothing was ordered
    When a worker of zone "a" is gone for 20 seconds
    Then zone "a" was ordered to hold 3 workers, and again only after those had time to start

  Scenario: A planned replacement leaves a zone as it was
    Given a service with 3 workers in each of 2 zones, at rest
    When each worker of zone "a" is replaced, the new one 4 seconds beside the old one
    Then nothing was ordered

  Scenario: A zone that can have no workers
    Given a service with 3 workers in each of 2 zones, at rest
    And zone "a" can have no worker
    When a worker of zone "a" is gone for good
    Then zone "b" was ordered to hold 4 workers
    And no zone was ordered to hold more

  Scenario: A list of workers that may be old
    Given a service with 3 workers in each of 2 zones, at rest
    And the list of workers may be 5 seconds old
    When a worker of zone "a" is gone for 20 seconds
    Then nothing was ordered

  Scenario: The policy that orders nothing
    Given a service with 3 workers in each of 2 zones, at rest, with the policy "hold"
    When a worker of zone "a" is gone for 20 seconds
    Then nothing was ordered

  Scenario: Any losses, answers and holders
    Then orders stay within what is allowed, come from one holder at a time and end with all workers

  Scenario: The call of the platform's interface
    Then an order names its service, zone, number, holder and fence
