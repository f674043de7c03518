Feature: Connections between nodes that go silent for good
  A connection may carry nothing any more without an end, while new ones work. The bound is
  `contactMs`: within it requests and one-way messages pass again.

  Scenario: Requests pass again after their connection went silent
    Given wire nodes alpha and beta with one cluster key, beta behind a relay
    When the relay's connections go silent while alpha asks beta every so often
    Then wire requests are answered again within contactMs

  Scenario: One-way messages arrive again after their connection went silent
    Given wire nodes alpha and beta with one cluster key, beta behind a relay
    When the relay's connections go silent while alpha only sends one-way messages
    Then one-way messages arrive again within contactMs

  Scenario: A request that waits on a connection that goes silent
    Given wire nodes alpha and beta with one cluster key, beta behind a relay
    When the relay's connections go silent while beta handles a request that takes long
    Then the waiting wire request fails as without an answer within contactMs

  Scenario Outline: A long message is being written when its connection goes silent
    Given wire nodes alpha and beta with one cluster key, beta behind a relay
    When the relay's connections go silent while alpha writes a long <kind> and a request waits behind
    Then what waited behind is answered within contactMs
    And of the long <kind> the truth is told

    Examples:
      | kind            |
      | request         |
      | one-way message |

  Scenario: Connections go silent again and again
    Given wire nodes alpha and beta with one cluster key, beta behind a relay
    When the relay's connections go silent while alpha asks beta every so often
    Then wire requests are answered again within contactMs
    When the relay's connections go silent while alpha asks beta every so often
    Then wire requests are answered again within contactMs
    And each silence cost one connection

  Scenario: A peer that stands still for a while keeps its connection
    Given wire nodes alpha and beta with one cluster key, beta behind a relay
    When beta stands still for twice contactMs while alpha asks it
    Then that request is answered over the connection of before
    And alpha has opened few connections meanwhile

  Scenario: A narrow connection with a large message in transfer is kept
    Given wire nodes alpha and beta with one cluster key, beta behind a relay
    When alpha asks beta with a message that takes longer than contactMs to arrive
    Then it is answered, and alpha has opened no further connection

  Scenario: A peer of a build that answers no sign of life is neither asked nor doubted
    Given wire nodes alpha and beta with one cluster key, beta behind a relay and of level 3
    When beta handles a request of alpha for twice contactMs
    Then it is answered, and alpha has opened no further connection
    And alpha has sent nothing else

  Scenario: A request that takes long is no silence
    Given wire nodes alpha and beta with one cluster key, beta behind a relay
    When beta handles a request of alpha for twice contactMs
    Then it is answered, and alpha has opened no further connection

  Scenario: A node that was suspended doubts none of its connections
    Then long gaps between looks raise no doubt before two more looks

  Scenario: Many nodes doubt one peer that stands still
    Then 339 nodes try it at most every contactMs each on average, at moments of their own

  Scenario: A connection that is not used carries nothing
    Given wire nodes alpha and beta with one cluster key, beta behind a relay
    When alpha asks beta once and nothing is sent for contactMs
    Then neither node has sent anything meanwhile
