Feature: The hosted roles as processes, through a short day
  Three gateways and three store machines run as processes with the deploy folder's settings
  template and stand-ins of the platform. Processes are killed and stopped singly and all at once,
  and the platform's store stops responding.

  Scenario: A short day with troubles
    When the short day is played
    Then everything that must hold has held
    And the metrics of both roles are those that docs/METRICS.md lists
    And the logs of the day explain a request, an item and a batch job
