Feature: Settings are checked, and every fault is reported at once

  Scenario: Five faults give five findings in one run
    Given a settings file with five faults
    When the command "settings check" runs on the settings file
    Then the command exits with code 3
    And the settings findings name these places and values
      | place            | found             |
      | :2: node.zoen    | an unknown key    |
      | :3: node.peer_port | 99999           |
      | :5: log.level    | 'loud'            |
      | :7: ledger.shards | 0                |
      | node.name        | nothing           |
    And the settings finding of "node.zoen" proposes "zone"

  Scenario: Flags go over the environment, which goes over the file
    Given settings with any combination of file, environment and flag values
    Then the settings in force and their origins follow the order flag, environment, file, default

  Scenario: A file that is no TOML gives one finding with its line
    Given a settings file that is no TOML
    When the command "settings check" runs on the settings file
    Then the command exits with code 3
    And the command reports "line 2"

  Scenario: Effective settings are shown with their origins
    Given a valid settings file
    When the command "settings show -o json" runs on the settings file
    Then the command exits with code 0
    And the settings shown have "node.zone" from the file and "ledger.shards" from the default

  Scenario: Any document of values is either valid or has findings, and nothing else
    Given settings documents with random tables, keys and values
    Then loading the settings gives checked settings or findings with a place and what is allowed
