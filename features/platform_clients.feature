Feature: The platform service pools connections and lets go of them

  Background:
    Given a started platform service and a platform server that answers

  Scenario: Platform calls one after the other share one connection
    When 20 platform calls are made one after the other, each with a new client
    Then the platform server has seen 1 connection

  Scenario: Platform calls at once use a connection each, and later calls use them again
    When 8 platform calls are made at once, three times
    Then the platform server has seen at most 8 connections

  Scenario: Idle platform connections are closed after their lifetime
    When 8 platform calls are made at once, three times
    And every idle platform connection has reached the end of its lifetime
    Then the platform server has no open connections
    And one more platform call succeeds

  Scenario Outline: A platform address that nobody can be reached at is a call that has not run
    When a platform call is made to the address "<address>"
    Then that platform call ends as not run

    Examples:
      | address       |
      | no port       |
      | 127.0.0.1:    |
      | 127.0.0.1:x   |
      | 127.0.0.1:0   |
      | :80           |

  Scenario: A platform client without an address says which setting is missing
    Then asking for each platform client without an address names its setting

  Scenario: A stopped platform service leaves no connection
    When 8 platform calls are made at once, three times
    And the platform service is stopped
    Then the platform server has no open connections
    And a platform call made later ends as not run
