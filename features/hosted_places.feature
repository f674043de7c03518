Feature: Evacuated zones get no work, cold workers get little
  The operator evacuates a zone by an object in the store, and gives it back by taking the object away.
  A worker that has just started bears few requests a second, from all processes together.

  Scenario: Requests and streams stay out of an evacuated zone
    Given a gateway with a worker in zone "a" and one in zone "b"
    When zone "a" is evacuated
    Then 20 requests and 5 streams run at the worker of zone "b" alone

  Scenario: A request fails after its gateway has learnt of the evacuation
    Given a gateway with a worker in zone "a" and one in zone "b"
    When the worker of zone "b" fails a request amid which zone "a" is evacuated
    Then the request is not tried again in zone "a"

  Scenario: All zones are evacuated
    Given a gateway with a worker in zone "a" and one in zone "b"
    When zones "a" and "b" are evacuated
    Then a request and a stream are refused at once as "zone_evacuated" and have not run

  Scenario: A zone is given back
    Given a gateway with a worker in zone "a" and one in zone "b"
    When zones "a" and "b" are evacuated
    And zone "a" is given back
    Then 3 requests and 1 streams run at the worker of zone "a" alone

  Scenario: Items stay out of an evacuated zone
    Given a leader of jobs with model workers in zones "a" and "b"
    When zone "a" is evacuated and a job of 24 items is handed in
    Then the job ends and no item has run in zone "a"

  Scenario: Items that run in a zone when it is evacuated end there
    Given a leader of jobs with model workers in zones "a" and "b"
    When a job of 8 items runs in both zones and zone "a" is evacuated
    Then the job ends, and each item ran once

  Scenario: Only the name of an evacuation counts
    Then an evacuation is in force whatever its contents, from lists, watches and peers

  Scenario: A zone of gateways that the store turns away learns of an evacuation
    Given zones of 9 and 8 nodes that follow a stand-in of the store
    When the store turns away all nodes of the first zone and zone "a" is evacuated
    Then all nodes know that zone "a" is evacuated
    When zone "a" is given back in the store
    Then all nodes know that no zone is evacuated

  Scenario: Peers of an older build relay no evacuations
    Then a node whose peers relay the older kinds alone is fresh, and follows evacuations itself

  Scenario: What is known of a worker's cold time
    Then entries, starts, failed connections and returned zones make workers cold for as long as they tell

  Scenario: A worker that only this process doubts
    Then a gateway that is no sender of it tries it once a second, and none that its entry calls cold

  Scenario: A worker closes its idle connections
    Given a gateway with a worker in zone "a" and one in zone "b"
    When both have answered requests and the worker of zone "a" starts again
    Then a request finds its connection closed, and the worker is in doubt

  Scenario: All processes together keep to a cold worker's rate
    Then with any splits, healed links and hand-overs no second has more requests than the bound

  Scenario: A cold worker gets nothing while a warm one has room
    Given a gateway with a worker in zone "a" and one in zone "b"
    When the worker of zone "a" is cold
    Then 12 requests and 4 streams run at the worker of zone "b" alone

  Scenario: Ejection while a zone is evacuated and workers are cold
    Then of two workers left by an evacuation one at most is ejected, and a slow cold one is not

  Scenario: Only cold workers are left
    Given a gateway with a worker in zone "a" and one in zone "b"
    When both workers are cold and this gateway is not one of their senders
    Then a request and a stream are refused at once as "worker_cold" and have not run
    And they may come back when the first of them is warm

  Scenario: A leader fills a cold worker slowly
    Given a leader of jobs with model workers in zones "a" and "b"
    When both workers are cold and a job of 40 items is handed in
    Then the job ends, and in no second more items begin at a worker than its share

  Scenario Outline: Route and tenant both bind where a request may run
    Given a gateway with a worker in zone "a" and one in zone "b"
    When the routes allow "<route>" and the tenant allows "<tenant>"
    Then 6 requests and 2 streams of the tenant run at the worker of zone "<zone>" alone

    Examples:
      | route       | tenant      | zone |
      | north       |             | a    |
      |             | south       | b    |
      | north       | north south | a    |
      | south north | south       | b    |

  Scenario: No region is allowed by both
    Given a gateway with a worker in zone "a" and one in zone "b"
    When the routes allow "north" and the tenant allows "south"
    Then a request and a stream of the tenant are refused at once as "outside_allowed_regions"

  Scenario: The last worker of an allowed region fails a request
    Given a gateway with a worker in zone "a" and one in zone "b"
    When the routes allow "south" and the tenant allows ""
    And the worker of zone "b" fails a request of the tenant
    Then the request is not tried again in zone "a"

  Scenario: Items run in the regions that their route allows
    Given a leader of jobs whose route allows region "south" alone
    When a job of 16 items is handed in
    Then the job ends and no item has run in zone "a"

  Scenario: Any regions, routes and tenants
    Then whatever is allowed, usable workers stand where route and tenant both allow

  Scenario: The directory of a client whose region has no gateway
    Then it names gateways of the client's region, else of regions that the host's routes allow

  Scenario: A worker of another region
    Then requests stay in the region while its workers take them as soon, and spill over beyond that

  Scenario: Everything that sends to workers asks whether it may
    Then workers are chosen in the known places alone, and each asks
