Feature: Items under which engines have ended, beside others of their job
  An item that must not run for now waits alone. It says so, is run as soon as it may be, and is
  never listed as dead for it.

  # Guards against items that lie without a line that tells why.
  Scenario: An item whose trials have all ended their engines
    Given a leader with a guard, and an item of 6 in 2 groups under which engines ended 3 times
    And 3 trials of the item have ended their engines
    When its job is accepted
    Then the other items are listed within 2 s
    And the held item has reached no engine and is not listed
    And the held item is logged within 2 s, with its reason and 3 s left at most
    And all items are listed within 6 s

  # Guards against items that are condemned by three ends of their engines.
  Scenario: An item that waits for its trial
    Given a leader with a guard, and an item of 6 in 2 groups under which engines ended 3 times
    When its job is accepted
    Then the other items are listed within 5 s
    And all items are listed within 6 s

  Scenario: A route that bounds the wait
    Given a leader with a guard, and an item of 6 in 2 groups under which engines ended 3 times
    And 3 trials of the item have ended their engines
    And the route's longest wait is 1 s
    When its job is accepted
    Then the other items are listed within 2 s
    And the held item has reached no engine and is not listed
    And all items are listed within 6 s

  # Guards against an item that keeps its job waiting until it is scored.
  Scenario: An item whose scoring is held
    Given a leader with a guard, and an item of 6 in 2 groups under whose scoring 6 workers ended
    When its job is accepted
    Then the other items are listed within 5 s
    And the held item is logged in the scoring stage
    And all items are listed within 6 s once an operator releases it

  # Guards against items without an engine since requests that nobody sends hold all places.
  Scenario Outline: Suspected requests that nobody sends any more
    Given a leader with a guard, and an item of 6 in 2 groups under which engines ended 2 times
    And 50 requests of <service> that nobody sends any more, each with <ends> ends before
    When its job is accepted
    Then all items are listed within 5 s

    Examples:
      | service         | ends |
      | the same one    | 2    |
      | the same one    | 3    |
      | another service | 2    |
      | another service | 6    |

  # Guards against an item that may run at one engine only, which can't take it.
  Scenario Outline: An engine that can't take the item
    Given a leader with a guard, and an item of 1 in 1 groups under which engines ended <ends> times
    And the engine <number> <state>
    When its job is accepted
    Then all items are listed within 8 s

    Examples:
      | ends | number | state         |
      | 2    | 0      | refuses all   |
      | 2    | 1      | refuses all   |
      | 3    | 0      | refuses all   |
      | 3    | 1      | refuses all   |
      | 2    | 0      | nobody runs   |
      | 2    | 1      | nobody runs   |

  # Guards against items that are left lying since their engines crashed by themselves.
  Scenario Outline: Engines that crash three times and stay then
    Given a leader with a guard and <engines> engines that stream slowly
    When a job of <items> items runs while all engines crash 3 times
    Then all items are listed within 12 s after the last crash

    Examples:
      | engines | items |
      | 1       | 1     |
      | 1       | 4     |
      | 3       | 6     |

  # Guards against an item whose trials are used up by refusals, which say nothing of it.
  Scenario: An item that waits for its trial while all engines load weights
    Given a leader with a guard, and an item of 1 in 1 groups under which engines ended 3 times
    And 4 engines that all refuse for 9 s
    When its job is accepted
    Then all items are listed within 16 s
