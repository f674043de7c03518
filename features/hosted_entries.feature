Feature: An entry of another writer spoils no other
  Anybody who may write to the hosting platform's store may write an entry that can't be read, or
  that does not say what it must. Such an entry counts as absent, the others hold.

  Scenario: Anything in the place of one entry of a list
    Then whatever stands in the place of one worker's entry, the others may get requests

  Scenario: Anything in the place of one change that a watch tells
    Then whatever stands in the place of one change, the others are taken, and a list is asked for where its name is lost

  Scenario: Anything in the place of one record that a peer tells
    Then whatever a peer tells in the place of one record, the others are taken

  Scenario: An entry that does not say what its kind must say
    Then entries with a field missing, of another type or out of range are not used, of any kind

  Scenario: Pages that end with a bad entry
    Then all pages of a list are read whichever entries can't be read

  Scenario: A bad entry in the place of a good one
    Given a stand-in of the platform's store
    And a process that follows it
    And workers "i-1" and "i-2" of service "app"
    When another writer replaces the entry of "i-1"
    Then the process may send requests of "app" to "i-2"
    When worker "i-1" writes its entry again
    Then the process may send requests of "app" to "i-1, i-2"

  Scenario: The writer of a bad entry is to be found
    Then a bad entry is logged once for each revision without its contents, and counted

  Scenario: A configuration that can't be read
    Then a configuration that can't be read never replaces the one in force

  Scenario: A part of a configuration that can't be read
    Then a route that can't be read keeps its former terms or is closed, never another's
    And a tenant, a service and limits that can't be read keep what they were

  Scenario: Anything in the place of one part of a configuration
    Then whatever stands in the place of one route, the others serve and nobody else serves its paths

  Scenario: A request of a route that can't be read
    Given a gateway before workers of its service
    When a configuration comes in which the route "/single/" can't be read
    Then a request of "/single/" is answered 503 and one of "/idempotent/" is served

  Scenario: A lease that another writer has overwritten
    Then a lease that can't be read is taken only when its holder's time is over
