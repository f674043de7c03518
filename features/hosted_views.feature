Feature: A hosted process knows the configuration and the workers as the store has them
  Every process follows the hosting platform's store by a list and watches. What it has put in
  force never goes back, whoever told it, and a watch that was cut in silence is found.

  Background:
    Given a stand-in of the platform's store
    And a process that follows it

  Scenario: A change reaches the process
    When the operator writes configuration 3
    Then the process routes by configuration 3
    When the operator writes configuration 8
    Then the process routes by configuration 8

  Scenario: A history that is gone is listed anew
    Given the operator has written configuration 3
    When the store forgets its history while configuration 5 is written
    Then the process routes by configuration 5

  Scenario: A store that refuses is asked again
    Given the operator has written configuration 3
    When the store refuses for a while and configuration 6 is written at its end
    Then the process routes by configuration 6

  Scenario: A watch that was cut in silence is found
    Given the operator has written configuration 3
    When the watches in hand go deaf and configuration 4 is written
    And the process compares its view with a cheap reading
    Then the process routes by configuration 4

  Scenario: A worker that drains or goes gets nothing more
    Given workers "i-1" and "i-2" of service "app"
    Then the process may send requests of "app" to "i-1, i-2"
    When worker "i-1" says that it is draining
    Then the process may send requests of "app" to "i-2"
    When worker "i-2" is gone from the store
    Then the process may send requests of "app" to nobody

  Scenario: A kind that is followed only while it is wanted
    Given a follower of retirements that nobody wants yet
    When retirement "store-1" is written
    Then the follower has not asked the store
    When the follower is wanted
    Then it knows the retirements "store-1"
    When it is not wanted any more, and retirements "store-2" and "store-3" are written
    Then it knows no more than "store-1, store-2"
    When the follower is wanted
    Then it knows the retirements "store-1, store-2, store-3"

  Scenario: A configuration never goes back
    Then in any order of tellings the configuration in force only rises

  Scenario: A configuration with words of a later version
    When the operator writes configuration 3 with a kind of route that nobody knows
    Then the process routes by configuration 3, and that route's requests run at most once

  Scenario: A process that starts while the store is down copies a peer
    Given the operator has written configuration 3
    And workers "i-1" of service "app"
    Then a peer's copy gives configuration 3 and worker "i-1", until the store is read

  Scenario: Workers whose entries lapsed while the store was away
    Given workers "i-1" and "i-2" of service "app"
    When the store is away for a while and the entries of "i-1" and "i-2" lapse meanwhile
    Then the store's return is seen, and "i-1, i-2" may still get requests of "app"
    When worker "i-1" writes its entry again
    Then the process may send requests of "app" to "i-1"
    And it knows worker "i-1" from the store

  Scenario: A worker that drained before the outage is not kept
    Given workers "i-1" and "i-2" of service "app"
    When worker "i-1" says that it is draining
    Then the process may send requests of "app" to "i-2"
    When the store is away for a while and the entries of "i-1" and "i-2" lapse meanwhile
    Then the store's return is seen, and "i-2" may still get requests of "app"

  Scenario: A worker that goes while the store is there is gone at once
    Given workers "i-1" and "i-2" of service "app"
    When worker "i-1" is gone from the store
    Then the view has dropped "i-1" with the change itself

  Scenario: Kept workers and the calendar of their return
    Then in any order of outages, lapses and returns a worker is kept for the agreed time, no longer

  # Guards against a view that is taken for current by a read which is as old as the view.
  Scenario: A stale read proves nothing
    Given a view of the configuration whose watch is silent
    When stale reads that are as old as the view are compared with it for 1 s
    Then the view's age has grown by 1 s
    And a confirmation makes it current, with the change that the watch did not tell

  # Guards against a new age beside the objects of before.
  Scenario: A view is no younger than its objects
    Then whoever is told of a change, a list or a peer's update finds the age of before it
