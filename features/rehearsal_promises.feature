Feature: The rehearsal kit's checker gives a true verdict on each promise
  The checker reads what stand-ins and callers logged. It says what it checked, and it fails when
  it had nothing to check. Each promise has deliberately broken variants that it must catch.

  Scenario: The checker holds every promise of an ideal service
    Given rehearsal evidence of any run of an ideal service
    Then the checker holds all nine promises with counts

  Scenario: A checker with nothing to check says so
    Given rehearsal evidence of a run in which nothing happened
    Then the checker has nothing to check for all nine promises, and the run has not held

  Scenario Outline: The checker catches a broken variant
    Given rehearsal evidence of any run of an ideal service
    When the rehearsal mutation <mutation> breaks it
    Then the checker finds the promise <promise> broken, and names its subject

    Examples:
      | mutation                | promise          |
      | wrong-version           | VERSIONS_NAMED   |
      | unnamed-tokens          | VERSIONS_NAMED   |
      | stale-sample            | STALENESS_BOUND  |
      | sample-twice            | EXACTLY_ONCE     |
      | sample-changed          | EXACTLY_ONCE     |
      | sample-lost             | EXACTLY_ONCE     |
      | answer-cut-short        | WHOLE_ANSWERS    |
      | sample-cut-short        | WHOLE_ANSWERS    |
      | answers-swapped         | WHOLE_ANSWERS    |
      | answer-vanished         | WHOLE_ANSWERS    |
      | false-refusal           | TRUE_REFUSALS    |
      | false-app-refusal       | TRUE_REFUSALS    |
      | false-write-refusal     | TRUE_REFUSALS    |
      | second-run              | AT_MOST_ONCE     |
      | work-after-leaving      | LEAVING_BACKENDS |
      | stop-cuts               | PLANNED_STOPS    |
      | stop-fails              | PLANNED_STOPS    |
      | configuration-goes-back | CONFIGURATION    |
      | configuration-stuck     | CONFIGURATION    |
      | write-lost              | CONFIGURATION    |

  Scenario: Every promise has a broken variant, and every variant is tested
    Then the rehearsal mutations are those of the outline and cover all nine promises

  Scenario Outline: A refusal "not run" of a key is held against the runs that it denies
    Given rehearsal evidence of a key that ran <when> a call with it was refused as not run
    Then the checker finds true refusals <ruling>

    Examples:
      | when                              | ruling |
      | through another call, before      | broken |
      | through another call, while       | held   |
      | through another call, after       | held   |
      | through that very call, while     | broken |
      | through that very call, after     | broken |
      | through a call refused too, after | broken |

  Scenario Outline: Only what the kit did to a node excuses a cut call
    Given rehearsal evidence of a call that was <cut> at a node under the fault <fault>
    Then the checker finds whole answers <ruling>

    Examples:
      | cut      | fault            | ruling |
      | cut      | node_kill        | held   |
      | cut      | zone_loss        | held   |
      | cut      | node_pause       | broken |
      | given up | node_pause       | held   |
      | given up | lease_lapse      | held   |
      | cut      | node_stop        | broken |
      | given up | store_down       | broken |
      | cut      | network_loss     | broken |

  Scenario Outline: A stop that another fault overtakes is not judged
    Given rehearsal evidence of a stopping node that is killed, its end told first by the <teller>
    Then the checker finds planned stops held, and one of them overtaken

    Examples:
      | teller |
      | stop   |
      | kill   |

  Scenario Outline: A step that never came is excused only where the kit took the majority away
    Given rehearsal evidence of a step of <length> s that never came while <what>
    Then the checker finds exactly once <ruling>

    Examples:
      | length | what                                                 | ruling |
      | 40     | nothing happened                                     | broken |
      | 5      | nothing happened                                     | broken |
      | 40     | one node was down                                    | broken |
      | 5      | one node was down                                    | broken |
      | 40     | two nodes were down                                  | held   |
      | 40     | two nodes were down for 10 s of it                   | broken |
      | 40     | one node was replaced and another down at once       | held   |
      | 40     | one node was replaced and another down a while later | broken |

  Scenario: A breach is told with the whole story of its id
    Given a rehearsal folder whose logs name one request among many others
    Then the story of that request has its lines of every log in order of time, and no others
