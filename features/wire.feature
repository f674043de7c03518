Feature: Transport between nodes
  Nodes exchange typed messages over connections on which both ends have proved a cluster key.

  Scenario: A request is answered by the peer's handler
    Given wire nodes alpha and beta with one cluster key
    When wire node alpha asks beta 200 numbered questions from 8 threads
    Then every wire answer carries the number of its own question
    And the wire handler at beta saw alpha's name and address

  Scenario: Handlers that ask each other do not starve
    Given wire nodes alpha and beta with one cluster key
    When 64 wire requests on each side are handled by asking the other side back
    Then all of the nested wire requests are answered

  Scenario: A request to a peer that is not there was not sent
    Given wire nodes alpha and beta with one cluster key
    When wire node beta stops
    Then a wire request from alpha to beta fails as not sent

  Scenario: A peer that stops while a request is handled gives no answer
    Given wire nodes alpha and beta with one cluster key
    When wire node beta stops while it handles alpha's request
    Then that wire request fails as without an answer

  Scenario: A message that a peer does not handle is refused and the connection stays
    Given wire nodes alpha and beta with one cluster key
    When wire node alpha sends beta a message that beta has no handler for
    Then that wire request fails as refused
    And wire node alpha still gets answers from beta over the same connection

  Scenario: A handler that raises may have had an effect, and harms no other request
    Given wire nodes alpha and beta with one cluster key
    When wire node alpha sends beta a message whose handler raises
    Then that wire request fails as without an answer
    And wire node alpha still gets answers from beta over the same connection

  Scenario: A moment in which no thread can be started
    Given wire nodes alpha and beta with one cluster key
    When wire node alpha asks beta while alpha can start no thread, and then while beta can't
    Then the first wire request was not sent and the second one has no answer
    And later wire requests between them are answered

  Scenario: A message that an older build does not know
    Given wire nodes alpha and beta with one cluster key
    And wire node beta is of a build that tells no level
    When wire node alpha sends beta a message of a later level, as a request and one way
    Then that wire request fails as refused
    And wire node beta has seen nothing of it, and alpha knows that beta does not know it
    And wire node alpha still gets answers from beta over the same connection

  Scenario: A message of a later level to a build that knows it
    Given wire nodes alpha and beta with one cluster key
    When wire node alpha asks beta a question of a later level
    Then it is answered, and alpha knows that beta knows it

  Scenario: A message that nobody knows
    Given wire nodes alpha and beta with one cluster key
    When a peer sends beta a message whose name no build knows, as a request and one way
    Then that wire request fails as refused
    And wire node alpha still gets answers from beta over the same connection

  Scenario: Handshakes of builds that tell a level and of builds that tell none
    Then each kind of build reads the other's part of a handshake
