Feature: The hosted roles as processes, through a short day
  Three gateways and three store machines run as processes with the deploy folder's settings
  template, before stand-ins of the platform. Processes are killed, stopped and killed all at once,
  and the platform's store falls silent.

  Scenario: A short day with troubles
    When the short day is played
    Then everything that must hold has held
    And the metrics of both roles are those that docs/METRICS.md lists
    And the logs of the day explain a request, an item and a batch job
