Feature: Bounds that hold over all processes
  A bound on the runs of one item or one request counts what every process has seen of it. Processes
  are lost and start again meanwhile.

  # Guards against leaders that each count the failures of an item from zero.
  Scenario Outline: An item that fails at each run while its leaders are lost one after the other
    Given a leader with model workers and scorers
    And the first item fails at every worker in its <stage>
    When a job of 4 items in 2 groups is accepted, and another node leads after each <answers> answers of 500
    Then the first item is listed as dead, and the others as completed
    And the first item was sent 9 times at most in its <stage>

    Examples:
      | stage | answers |
      | text  | 1       |
      | text  | 2       |
      | score | 1       |
      | score | 2       |

  # Guards against runs whose answers of 500 come when their leader has ceased to wait.
  Scenario Outline: An item that fails at each run, later than its leader waits at first
    Given a leader with model workers and scorers
    And the first item fails at every worker in its <stage>
    And it does so after <factor> times the time that a leader waits at first
    When a job of 4 items in 2 groups is accepted
    Then the first item is listed as dead, and the others as completed
    And the first item was sent 9 times at most in its <stage>

    Examples:
      | stage | factor |
      | text  | 1.5    |
      | text  | 6      |
      | score | 1.5    |
      | score | 4      |

  # Guards against the same on processes: their leader is killed while an item fails.
  Scenario Outline: An item that fails at each run while the processes of its leaders are killed
    Given hosted processes, 3 gateways and 3 store machines
    And an item that answers 500 at each run in its <stage>
    When its job is accepted, and the leader of the jobs is killed 5 times, after each 2 answers of 500
    Then the item is listed as dead
    And it has been sent 9 times at most

    Examples:
      | stage |
      | text  |
      | score |

  # Guards against jobs that each count the failures of an item from zero.
  Scenario Outline: An item that fails at each run and comes again in later jobs
    Given a leader with model workers and scorers
    And the first item is answered <status> after 0.1 s at every worker in its <stage>
    When the same items come in 8 jobs, each ended <end>
    And they come in a last job
    Then the first item is listed as dead, and the others as completed
    And the first item was sent <fewest> to <most> times in its <stage>, and never in the last job

    Examples:
      | stage | status | end                 | fewest | most |
      | text  | 500    | 0.35 s later        | 3      | 9    |
      | text  | 500    | once it is listed   | 3      | 9    |
      | text  | 500    | as its run ends     | 3      | 9    |
      | score | 500    | 0.35 s later        | 3      | 9    |
      | score | 500    | once it is listed   | 3      | 9    |
      | text  | 422    | 0.35 s later        | 1      | 3    |
      | text  | 422    | once it is listed   | 1      | 3    |
      | score | 422    | 0.35 s later        | 1      | 3    |
      | score | 422    | once it is listed   | 1      | 3    |

  # Guards against an answer that is dropped since its run had been cancelled when it was read.
  Scenario Outline: A failure that is read by a run whose job has ended
    Given a leader with model workers and scorers
    And the first item is answered <status> after 0.1 s at every worker in its text
    When its job ends between an answer and its reading
    Then 1 failure of the first item is recorded

    Examples:
      | status |
      | 500    |
      | 422    |

  # Guards against runs of one item in several jobs that begin before the first failure is counted.
  Scenario: An item that fails at each run, in 20 open jobs at once
    Given a leader with 12 model workers and scorers
    And the first item is answered 500 after 0.1 s at every worker in its text
    When the same items come in 20 jobs that stay open
    Then all jobs list the first item as dead, and the others as completed
    And the first item was sent 3 to 9 times

  Scenario: An item that failed too often is completed in a later job, once what failed it is mended
    Given a leader with model workers and scorers
    And the first item is answered 500 after 0.1 s at every worker in its text
    When the same items come in 1 jobs, each ended once it is listed
    And no item fails any more
    And they come in a last job
    Then all items are listed as completed

  # Guards against runs each 20 ms after answers that neither end an item nor count.
  Scenario Outline: An item whose workers answer an error that is no failure
    Given a leader with model workers and scorers
    And the first item is answered <status> after 0 s at every worker in its <stage>
    When the same items come in 1 jobs that stay open
    And no item fails any more after 3 s
    Then the first item was sent 4 to 10 times
    And all jobs list all items as completed

    Examples:
      | stage | status |
      | text  | 404    |
      | text  | 502    |
      | score | 403    |
      | score | 503    |

  # Guards against the same on processes, whose leader is killed or not while jobs come and end.
  Scenario Outline: An item that fails at each run and comes again in later jobs of processes
    Given hosted processes, 3 gateways and 3 store machines
    And an item that answers <status> at each run in its <stage>
    When it comes in 8 jobs that end after 0.35 to 0.6 s, and their leader is killed <kills> times
    And it comes in a last job
    Then the item is listed as dead
    And it has been sent <fewest> to <most> times

    Examples:
      | stage | status | kills | fewest | most |
      | text  | 500    | 0     | 3      | 9    |
      | score | 500    | 0     | 3      | 9    |
      | text  | 500    | 2     | 3      | 9    |
      | text  | 422    | 0     | 1      | 3    |
      | score | 422    | 0     | 1      | 3    |

  # Guards against gateways that start without what the others know of a request.
  Scenario Outline: A request that crashes workers while gateways are killed and start again
    Given hosted processes, 3 gateways and 3 store machines
    And a gateway is killed and started again each <pause> s, drawn by seed <seed>
    When a request to "/price/x" that crashes its worker comes each 0.4 s at any gateway for 25 s
    Then it has crashed 3 workers at least
    And later than 3 s after the third crash all gateways have sent it 3 times at most

    Examples:
      | seed | pause |
      | 1    | 3     |
      | 5    | 4.5   |
