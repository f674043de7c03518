Feature: A batch job holds to the route that accepted it
  Items run at a service that the job's own route names in the configuration in force, or not at
  all. Where that route has ended, items that wait end as dead.

  # Guards against items that a shorter route of the host hands to another service.
  Scenario Outline: The route of a job ends while items wait
    Given a leader with a slow model worker, and a route "/" to the scorers' service
    When a job of 20 items is accepted, and a configuration comes that <change>
    Then each item is listed once: those that ran as completed, the others as dead
    And no scorer runs the text of an item

    Examples:
      | change                                 |
      | lacks its route                        |
      | has its route as one for requests      |
      | lacks its route, with another leader   |

  Scenario Outline: The route of a job may only be unknown
    Given a leader with a slow model worker, and a route "/" to the scorers' service
    When a job of 20 items is accepted, and a configuration comes that <change>
    And a configuration with its route comes 0.5 s later
    Then all 20 items are listed as completed
    And no scorer runs the text of an item

    Examples:
      | change                                      |
      | is older than the job's and lacks its route |
      | lacks its route, which can not be read      |
      | lacks its route, and the job names none     |

  Scenario: The route of a job moves to another service while items wait
    Given a leader with a slow model worker, and a route "/" to the scorers' service
    When a job of 20 items is accepted, and all 8 places of the worker are taken
    And a configuration comes that moves its route to the scorers' service
    Then the model worker runs no item that had not begun by then

  Scenario: The limit of a job's route is raised between two jobs
    Given a leader with model workers and scorers
    And the first item is answered 500 after 0.05 s at every worker in its text
    When the same items come in 8 jobs, each ended once it is listed
    And a configuration comes that allows 9 attempts
    And they come in a last job
    Then the first item is listed as dead, and the others as completed
    And it ran in the last job again, 9 times in all
