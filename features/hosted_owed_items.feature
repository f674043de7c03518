Feature: Items under which workers ended stay owed
  Items that are handed in for later are never requests that crash workers by themselves. Whatever
  ended under an item, once its workers stay it gets one again within 5 s, and it is not listed as
  dead for it.

  # Guards against sound items that are kept from the engines since these crashed under them.
  Scenario Outline: An item under which engines ended
    Given a leader with a guard, and an item of 6 in 2 groups under which engines ended <ends> times
    When its job is accepted
    Then all items are listed within 6 s
    And the item reached a worker within 5 s

    Examples:
      | ends |
      | 3    |
      | 4    |
      | 6    |
      | 12   |

  Scenario Outline: An item whose trials have ended their engines
    Given a leader with a guard, and an item of 6 in 2 groups under which engines ended <ends> times
    And <trials> trials of the item have ended their engines
    When its job is accepted
    Then all items are listed within 6 s
    And the item reached a worker within 5 s

    Examples:
      | ends | trials |
      | 3    | 1      |
      | 3    | 3      |
      | 6    | 6      |

  # Guards against items whose trials are used up by engines that did not run them.
  Scenario: An item whose trials were refused
    Given a leader with a guard, and an item of 6 in 2 groups under which engines ended 3 times
    And 1 trials of the item have ended their engines
    And 5 trials of the item were refused
    When its job is accepted
    Then all items are listed within 6 s
    And the item reached a worker within 5 s

  # Guards against a new leader that condemns what the one before it has told.
  Scenario Outline: Another leader takes over after the crashes
    Given a leader with a guard, and an item of 6 in 2 groups under which engines ended <ends> times
    And <trials> trials of the item have ended their engines
    And another node leads from now on, which was told all that
    When its job is accepted
    Then all items are listed within 6 s
    And the item reached a worker within 5 s

    Examples:
      | ends | trials |
      | 3    | 3      |
      | 12   | 0      |

  Scenario Outline: An item under whose scoring workers ended
    Given a leader with a guard, and an item of 6 in 2 groups under whose scoring <ends> workers ended
    When its job is accepted
    Then all items are listed within 6 s

    Examples:
      | ends |
      | 3    |
      | 6    |
      | 12   |

  # Guards against items that are given up for crashes that they have not caused.
  Scenario: A route that bounds the wait
    Given a leader with a guard, and an item of 6 in 2 groups under which engines ended 6 times
    And the route's longest wait is 1 s
    When its job is accepted
    Then all items are listed within 6 s

  Scenario: Many items under which engines ended
    Given a leader with a guard, and 40 items under each of which engines ended 6 times
    When its job is accepted
    Then all items are listed within 8 s

  Scenario Outline: Engines that crash again and again under a job and stay then
    Given a leader with a guard and <engines> engines that stream slowly
    When a job of <items> items runs while all engines crash <crashes> times
    Then all items are listed within 9 s after the last crash

    Examples:
      | engines | items | crashes |
      | 1       | 1     | 6       |
      | 3       | 6     | 4       |
      | 3       | 6     | 9       |

  # Guards against items that lie after a burst of crashes, as reported by operators.
  Scenario Outline: Three bursts of crashes
    Then over 30 drawn courses of 3 bursts of 5 crashes of <workers> workers no item handed in for later lacks an engine for 5 s after the last crash

    Examples:
      | workers |
      | 2       |
      | 4       |
      | 10      |

  # Guards against a bound on items that is paid by the requests of clients.
  Scenario: A client's request that crashes workers is held as before
    Given a leader with a guard, and an item of 6 in 2 groups under which engines ended 6 times
    Then a client's request under which as many workers ended is held for more than 500 s
