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

  Scenario: A large tenant beside small ones
    Given a tenant with 80% of the requests, beyond all workers for 10 s
    Then small tenants are served in time more often than the large one

  Scenario: All workers are gone
    Then requests neither wait nor are refused by the queue
    And their clients are told when to come back

  Scenario: Order among those that wait
    Then whatever comes and goes, the most urgent go first and no tenant is passed over for long
    And the queue never holds more than its bound, and who is let go was in it
    And one whose deadline can't be met any more is refused before its deadline

  Scenario: Times to come back
    Then a time to come back is at most a third of what the client has left
    And clients that have least time left come back first, and not all at once
