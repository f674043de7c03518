Feature: The whole system, as separate processes
  Stand-ins of the platform and nodes run as processes of their own and speak over loopback.

  Scenario: A planned stop cuts none of 20 streams
    Given a whole system of 3 nodes and 2 engines
    When 20 whole-system streams of 1000 tokens run through one node
    And that whole-system node is stopped by SIGTERM while all of them run
    Then every whole-system stream ends whole with 1000 tokens
    And the stopped whole-system node exits with code 0

  Scenario: A request, a request not to be repeated and a sample go through every layer
    Given a whole system of 3 nodes and 2 engines
    Then the whole system answers a completion with its weight version
    And the whole system runs a request not to be repeated once, asked for through every node
    And the whole system delivers the samples of a step through another node
    And the command line lists, describes and explains the whole system's resources
