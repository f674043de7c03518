Feature: A gateway knows what its services can take, and says so at once
  Requests start, wait briefly in a fair order, or are refused before any worker sees them. The
  decisions are tested on replayed load, without a network.

  Scenario: Room, or nothing known
    Then a request starts if a worker has free slots or unknown latency, or there is no worker
    And no request is refused while less than half of the slots are in use

  Scenario: A burst with half of the workers slow
    Given a burst of 14 times the requests for 10 s, and half of the workers slow
    Then no client fares worse than if every request started immediately

  Scenario: A burst beyond all workers
    Given a burst beyond the capacity of all workers for 10 s
    Then more are answered in time than if every request started immediately, with half of the attempts
    And the queue never exceeded its maximum length

  Scenario: A burst beyond all workers, among gateways that hear of each other late
    Given a burst beyond the capacity of all workers for 10 s
    And 12 gateways that hear of each other every 500 ms
    Then more are answered in time than if every request started immediately, and no more are refused

  Scenario: A large tenant beside small ones
    Given a tenant with 80% of the requests, beyond the capacity of all workers for 10 s
    Then small tenants are served in time more often than the large one
    And more often than without a reserve for them, while the large one is still served

  Scenario: Requests of two priorities
    Given half of the requests more urgent, beyond the capacity of all workers for 10 s
    Then the more urgent are served in time more often, while the others are still served

  Scenario: All workers are gone
    Then requests neither wait nor are refused by the queue
    And their clients get a Retry-After

  Scenario: Order among those that wait
    Then under any arrivals, the most urgent go first and no tenant is starved
    And the queue never exceeds its bound, and each request is released once
    And a request that can no longer meet its deadline is refused before it

  # Guards against a service whose room shrinks for good, and against threads that wait for ever.
  Scenario: Anything that raises while requests wait
    Then whatever raises while requests wait, each of them ends and none stays counted

  Scenario: Who is beyond its share
    Then a tenant alone or among equals is within its share, and a flooding tenant is not until it ends

  Scenario: Times to come back
    Then Retry-After is at most a third of the client's remaining time
    And clients with the least time left retry first, and not all at once

  Scenario: A service that can't answer in time
    Given a gateway with known workers, each with 60 requests of other gateways in flight
    When a client sends a request that must be answered within 300 ms
    Then it gets 503, no worker ran it, and Retry-After is within a third of its time
    And its log line and the explanation of its id give the figures of the decision
    And it is counted as refused

  Scenario: The same with every switch off
    Given a gateway without admission control, its workers each with 60 requests in flight
    When a client sends a request that must be answered within 300 ms
    Then a worker ran it, and it gets 200

  Scenario: A gateway that is cut off, with what it last heard of others
    Given a gateway with known workers, each with 60 requests of other gateways in flight
    And it received nothing from other gateways for 3 s
    When a client sends a request that must be answered within 300 ms
    Then a worker ran it, and it gets 200

  Scenario: A request waits until there is room
    Given a gateway with known workers, each with 140 requests of other gateways in flight
    When a client sends a request that may take 2 s
    Then it is queued at the gateway
    When the other gateways' requests at one worker end
    Then a worker ran it, and it gets 200
    And the explanation of its id mentions the wait

  Scenario: A client that leaves while its request waits
    Given a gateway with known workers, each with 140 requests of other gateways in flight
    When a client sends a request that may take 2 s, and leaves
    Then the queue is empty, and no worker ran it

  Scenario: Workers that are set aside are no room
    Given a gateway with known workers, each with 60 requests of other gateways in flight
    And one worker without requests is ejected
    When a client sends a request that must be answered within 300 ms
    Then it gets 503, no worker ran it, and Retry-After is within a third of its time

  Scenario Outline: Workers that say themselves how much they have
    Given a gateway with known workers, each with 0 requests of other gateways in flight
    And each of them reported 60 requests <before> ms ago
    When a client sends a request that must be answered within 300 ms
    Then it gets <status>

    Examples:
      | before | status |
      | 20     | 503    |
      | 400    | 200    |

  Scenario Outline: The priority of a request goes with it to engines
    Given a gateway before <service> whose tenants have priorities
    When <who> sends a request to a route of priority 3
    Then its worker received the urgency <urgency>

    Examples:
      | service        | who                                   | urgency     |
      | engines        | a tenant of priority 0                | 0           |
      | engines        | a tenant of priority 12               | 9           |
      | engines        | a tenant without a priority           | 3           |
      | engines        | a client that names an urgency itself | 3           |
      | other workers  | a tenant of priority 0                | none        |
      | other workers  | a client that names an urgency itself | 1           |
