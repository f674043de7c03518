Feature: Limits, fairness and priority
  Each request class has its own limits, callers are served fairly, and drafts yield to interactive requests.

  Scenario: Waiting callers take turns and a flood displaces nothing but itself
    Then routing's fair queue serves callers in turn for any pushes, pops and displacements

  Scenario: A flood from one caller does not starve another
    Given a routing gate for 2 requests at once and 8 in the queue
    When one caller floods the routing gate with 24 requests and another sends 5 in turn
    Then the routing gate has admitted all 5 and refused some of the flood as not run at once

  Scenario: A request that cannot meet its deadline is refused before it waits
    Given a routing gate for 1 request at once and 8 in the queue
    When the routing gate is occupied by requests of 10 s each
    Then the routing gate refuses a request that has 1 s left as not run with a retry delay

  Scenario: The limit follows the latency within its bounds
    Then routing's adaptive limit stays within its bounds for any latencies
    And routing's adaptive limit shrinks while requests get slower and grows back after

  Scenario: Each class has a gate of its own
    Given routing over 1 engines and 1 application workers
    When routing's drafts occupy every slot of their class
    Then routing refuses another draft as overloaded and not run
    And routing still serves an interactive generation

  Scenario: Drafts fill an engine until a caller uses it, then only their share
    Given routing over 1 engines and 1 application workers
    When routing starts drafts until one is refused
    Then routing's engine runs 64 drafts
    When routing serves a caller, all drafts end, and drafts are started until one is refused
    Then routing's engine runs 32 drafts
