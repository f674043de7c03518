Feature: Gateways share what they see of workers
  Each gateway sends a worker few requests. Observations of its peers count once, weighted by age.

  Scenario: Messages that are lost, come twice or late, and gateways that start again
    Then under any loss, duplication, delay and restart, no gateway counts more than its peers observed
    And under any loss, duplication, delay and restart, one later message each makes all counts equal

  Scenario Outline: What one gateway saw reaches all others
    Given <gateways> gateways in <zones> zones
    When one of them sees a worker fail
    Then all gateways know of the failure after the rounds that reach all
    And no gateway sent more than 2 messages per round or kept more than the documented connections

    Examples:
      | gateways | zones |
      | 2        | 1     |
      | 7        | 3     |
      | 64       | 4     |

  Scenario: Nothing was seen
    Given 7 gateways in 3 zones
    When 5 rounds pass
    Then no gateway sent anything

  Scenario: Gateways learn of a worker that fails everything from each other
    Given 12 gateways in 3 zones that each sent one request to one of 4 workers, of which one fails every request
    When the rounds that reach all pass
    Then every gateway has ejected the failing worker and no other

  Scenario: What a worker told one gateway of its load is known to all, with its age
    Given 12 gateways in 3 zones
    When one of them receives a worker's load with an answer
    Then all gateways know the load and its age after the rounds that reach all

  Scenario: Each mechanism is switched off by itself
    Then with ejection disabled no failing worker is ejected
    And without a retry budget any number of retries is allowed
    And with reported load disabled no worker's load is known

  Scenario: A gateway that is cut off
    Given 6 gateways in 2 zones that know each other's requests in flight
    When one of them is isolated and goes on sending requests
    Then it logs its isolation, and counts no requests of others in flight
    And it logs the end of its isolation once it hears others again

  Scenario: A gateway of an older build
    Given 5 gateways in 1 zones of which one does not support the messages
    When one of them sees a worker fail
    Then the others all know of the failure, and the older one got at most one message from each in 30 s
