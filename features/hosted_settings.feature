Feature: Settings of a hosted process are checked whole
  The platform renders the template in `deploy/` at every start and whenever its fields change.

  Scenario: The template of both roles
    When the template is rendered for a gateway and for a store
    Then both settings are accepted without unknown keys

  Scenario: A platform that does not tell what may be lost
    When the template is rendered for a store without the tolerated losses
    Then the settings are accepted, with replicas for the loss of one machine

  Scenario: Every setting is shown, and where it came from
    Given the settings of a store with moving of runs switched off
    Then the command "settings hosted FILE" shows the given value and the defaults of other switches
    And the command "settings hosted FILE" reports the errors of an invalid file

  Scenario: Several faults at once
    Given settings with a wrong role, a port out of range, an invalid seed and no data folder
    Then all 3 invalid values are reported together, each with its key path
    Given settings without the node's name and with a string for a number
    Then all 2 schema errors are reported together, each with its key path

  Scenario: Keys of later versions
    Given settings with unknown keys
    Then they are accepted, and the unknown keys are returned

  Scenario: Signals while a process starts
    Then a hosted process that receives SIGHUP while it reads its settings continues to start
    And a hosted process that receives SIGTERM while it reads its settings exits with code 0
