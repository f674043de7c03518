Feature: Settings of a hosted process are checked whole
  The hosting platform fills the template in `deploy/` from its own fields at every start and each
  time they change.

  Scenario: The template of both roles
    When the template is filled for a gateway and for a store
    Then both settings are accepted, with nothing unknown

  Scenario: A platform that does not tell what may be lost
    When the template is filled for a store without the tolerated losses
    Then the settings are accepted, with replicas for the loss of one machine

  Scenario: Every setting is shown, and where it came from
    Given the settings of a store with runs that are not moved
    Then the command "settings hosted FILE" shows that as given and every other switch by its default
    And the command "settings hosted FILE" tells the faults of a wrong file

  Scenario: Several faults at once
    Given settings with a wrong role, a port out of bounds, a bad seed and no data folder
    Then all 3 faults of values are found together, each with its place
    Given settings without a node's name and with a text for a number
    Then all 2 faults of shape are found together, each with its place

  Scenario: Keys of later versions
    Given settings with keys that nobody knows
    Then they are accepted, and the keys are told

  Scenario: Signals while a process starts
    Then a hosted process that is told of changed settings while it reads them starts on
    And a hosted process that is stopped while it reads its settings ends with exit code 0
