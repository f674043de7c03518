Feature: The command line

  Scenario: Help shows the commands and examples
    When the command "--help" runs
    Then the command exits with code 0
    And the command prints "Examples"

  Scenario: A wrong command line is a usage error
    When the command "no-such-command" runs
    Then the command exits with code 2

  Scenario: The catalogue of log events in the docs is the code's
    When the command "events --markdown" runs
    Then the command exits with code 0
    And the command's output is the page "docs/EVENTS.md"

  Scenario: A node never loads the rehearsal kit
    When the modules of a node are imported
    Then the command prints "rehearsal kit not loaded"
