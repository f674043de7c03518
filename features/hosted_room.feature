Feature: A gateway knows what its services can take, and says so at once
  Requests start, wait a moment in an order of their own, or are refused before any worker sees
  them. The decisions are played on replayed load, without a network.

  Scenario: Room, or nothing known
    Then a request starts while a worker has room, is unknown, or there is no worker at all
    And nobody is refused while under half of the slots are taken

  Scenario: A burst with half of the workers slow
    Given requests 14 times as many for 10 s, and half of the workers slow
    Then no client fares worse than where every request starts at once

  Scenario: A burst beyond all workers
    Given requests beyond all workers for 10 s
    Then more are answered in time than where every request starts at once, with half of the offers
    And no more waited than the queue may hold

  Scenario: A burst beyond all workers, among gateways that hear of each other late
    Given requests beyond all workers for 10 s
    And 12 gateways that hear of each other each 500 ms
    Then more are answered in time than where every request starts at once, and no more are refused

  Scenario: A large tenant beside small ones
    Given a tenant with 80% of the requests, beyond all workers for 10 s
    Then small tenants are served in time more often than the large one
    And more often than without a reserve for them, while the large one is served, too

  Scenario: Requests of two priorities
    Given half of the requests more urgent, beyond all workers for 10 s
    Then the more urgent are served in time more often, while the others are served, too

  Scenario: All workers are gone
    Then requests neither wait nor are refused by the queue
    And their clients are told when to come back

  Scenario: Order among those that wait
    Then whatever comes and goes, the most urgent go first and no tenant is passed over for long
    And the queue never holds more than its bound, and who is let go was in it
    And one whose deadline can't be met any more is refused before its deadline

  Scenario: Who is beyond its share
    Then a tenant alone or among equals is not beyond its share, and a flood is until it ends

  Scenario: Times to come back
    Then a time to come back is at most a third of what the client has left
    And clients that have least time left come back first, and not all at once

  Scenario: A service that can't answer in time
    Given a gateway whose workers are known, each with 60 requests of others in hand
    When a client sends a request that must be answered within 300 ms
    Then it gets 503, no worker ran it, and it may come back within a third of its time
    And its log line tells what was known, and the explanation of its id says so
    And it is counted as refused

  Scenario: The same with every switch off
    Given a gateway without decisions on room, its workers each with 60 requests in hand
    When a client sends a request that must be answered within 300 ms
    Then a worker ran it, and it gets 200

  Scenario: A gateway that is cut off, with what it last heard of others
    Given a gateway whose workers are known, each with 60 requests of others in hand
    And it has heard nothing of other gateways for 3 s
    When a client sends a request that must be answered within 300 ms
    Then a worker ran it, and it gets 200

  Scenario: A request waits until there is room
    Given a gateway whose workers are known, each with 140 requests of others in hand
    When a client sends a request that may take 2 s
    Then it waits at the gateway
    When the others' requests at one worker end
    Then a worker ran it, and it gets 200
    And the explanation of its id tells the wait

  Scenario: A client that leaves while its request waits
    Given a gateway whose workers are known, each with 140 requests of others in hand
    When a client sends a request that may take 2 s, and leaves
    Then nothing waits any more, and no worker ran it

  Scenario: Workers that are set aside are no room
    Given a gateway whose workers are known, each with 60 requests of others in hand
    And one worker without any is set aside
    When a client sends a request that must be answered within 300 ms
    Then it gets 503, no worker ran it, and it may come back within a third of its time

  Scenario Outline: Workers that say themselves how much they have
    Given a gateway whose workers are known, each with 0 requests of others in hand
    And each of them said <before> ms ago that it had 60
    When a client sends a request that must be answered within 300 ms
    Then it gets <status>

    Examples:
      | before | status |
      | 20     | 503    |
      | 400    | 200    |

  Scenario Outline: The priority of a request goes with it to engines
    Given a gateway before <service> whose tenants have priorities
    When <who> sends a request to a route of priority 3
    Then its worker was told the urgency <urgency>

    Examples:
      | service        | who                                   | urgency     |
      | engines        | a tenant of priority 0                | 0           |
      | engines        | a tenant of priority 12               | 9           |
      | engines        | a tenant without a priority           | 3           |
      | engines        | a client that names an urgency itself | 3           |
      | other workers  | a tenant of priority 0                | nobody told |
      | other workers  | a client that names an urgency itself | 1           |
