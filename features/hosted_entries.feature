Feature: An entry of another writer spoils no other
  Any writer to the hosting platform's store may write an undecodable or invalid entry. Such an entry
  counts as absent, and all others stay in effect.

  Scenario: Anything in the place of one entry of a list
    Then with any value in place of one worker's entry, the others stay available for requests

  Scenario: Anything in the place of one change that a watch tells
    Then with any value in place of one change, the others are applied, and the kind is listed again if its name is unknown

  Scenario: Anything in the place of one record that a peer tells
    Then with any value in place of one record sent by a peer, the others are applied

  # Guards against a worker that is served as its former entry said until the next list.
  Scenario: A record that a peer tells anew and that can't be read
    Then a record sent by a peer that can't be read never leaves the former one in effect

  Scenario: An entry that does not say what its kind must say
    Then entries of any kind with a missing, mistyped or out-of-range field are rejected

  Scenario: Pages that end with a bad entry
    Then all pages of a list are read even if entries can't be read

  Scenario: A bad entry in the place of a good one
    Given a stand-in of the platform's store
    And a process that follows it
    And workers "i-1" and "i-2" of service "app"
    When another writer replaces the entry of "i-1"
    Then the process may send requests of "app" to "i-2"
    When worker "i-1" writes its entry again
    Then the process may send requests of "app" to "i-1, i-2"

  Scenario: The writer of a bad entry is to be found
    Then an invalid entry is logged once per revision without its contents, and counted

  Scenario: A configuration that can't be read
    Then an invalid configuration never replaces the one in effect

  Scenario: A part of a configuration that can't be read
    Then an invalid route keeps its former settings or is closed, and never gets those of another
    And an invalid tenant, service or limits entry keeps its former value

  Scenario: Anything in the place of one part of a configuration
    Then with any value in place of one route, the others serve and no other route serves its paths

  Scenario: A request of a route that can't be read
    Given a gateway with workers of its service
    When a configuration arrives in which the route "/single/" is invalid
    Then a request of "/single/" is answered 503 and one of "/idempotent/" is served

  Scenario: A lease that another writer has overwritten
    Then an unreadable lease is acquired only after its holder's term has expired
