Feature: Gateways share what they see of workers
  A gateway of many sends a worker little; what the others saw counts by its age, and once.

  Scenario: Messages that are lost, come twice or late, and gateways that start again
    Then whatever becomes of the messages, no gateway counts more of another than that one saw
    And whatever becomes of them, a later message brings all to what each saw last

  Scenario Outline: What one gateway saw reaches all others
    Given <gateways> gateways in <zones> zones
    When one of them sees a worker fail
    Then all have heard of it after the rounds that tell all
    And no gateway sent more than 2 messages a round, nor kept more than the stated connections

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
    Given 12 gateways in 3 zones that each sent one request to one of 4 workers, of which one fails everything
    When the rounds pass that tell all
    Then every gateway has set it aside, and no other worker

  Scenario: What a worker told one gateway of its load is known to all, with its age
    Given 12 gateways in 3 zones
    When one of them is told a worker's load with an answer
    Then all know the load after the rounds that tell all, as old as it is

  Scenario: Each mechanism is switched off by itself
    Then a sight that sets nobody aside does not, whatever fails
    And a sight without a bound allows any number of further tries
    And a sight that does not use workers' own load knows none

  Scenario: A gateway that is cut off
    Given 6 gateways in 2 zones that have told each other of requests in hand
    When one of them is cut off and goes on seeing requests
    Then it says that it is alone, and counts nothing in hand elsewhere
    And it says that it is no longer so once it hears others again

  Scenario: A gateway of an older build
    Given 5 gateways in 1 zones of which one does not know the messages
    When one of them sees a worker fail
    Then the others have all heard of it, and the older one got no more than one message of each in half a minute
