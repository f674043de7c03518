Feature: Trust and limits between nodes
  Nothing that a stranger sends costs a node more than one closed connection and one log event.

  Scenario: No bytes make the frame decoder do anything but refuse
    Then wire frames decode to a frame or are refused, for random bytes
    And wire frames decode to a frame or are refused, for cbor with any nesting, tags and lengths
    And wire messages survive encoding and decoding

  Scenario Outline: A stranger's bytes close its connection and harm no other
    Given wire nodes alpha and beta with one cluster key
    When a wire stranger sends beta <bytes>
    Then that wire stranger's connection is closed and beta logged one event
    And wire node alpha still gets answers from beta

    Examples:
      | bytes                                     |
      | random bytes                              |
      | a huge length                             |
      | a deeply nested frame                     |
      | an HTTP request                           |
      | a hello of another protocol               |
      | a hello and a proof by another key        |
      | a valid message frame without a handshake |

  Scenario: A stranger that sends its bytes slowly is closed all the same
    Given wire nodes alpha and beta with one cluster key
    And a wire handshake time of 0.3 seconds
    When a slow wire stranger sends beta a byte each 0.05 seconds
    Then that wire stranger's connection is closed before its 60th byte

  Scenario: Random bytes on the live port never disturb the node
    Given wire nodes alpha and beta with one cluster key
    Then wire node beta stays whole through random bytes from strangers

  Scenario Outline: An authenticated peer that breaks the protocol loses its connection only
    Given wire nodes alpha and beta with one cluster key
    When an authenticated wire peer sends beta <bytes>
    Then that wire peer's connection is closed and beta logged one event
    And wire node alpha still gets answers from beta

    Examples:
      | bytes                 |
      | random bytes          |
      | a huge length         |
      | a deeply nested frame |

  Scenario: A cluster key is replaced without a stop
    Given wire nodes alpha and beta with one cluster key
    When the wire cluster key is replaced step by step at one node after the other
    Then wire node alpha could reach beta after every step
    And a wire node with the old key only is refused

  Scenario: Nodes of an open cluster need no key
    Given wire nodes alpha and beta without a cluster key
    Then wire node alpha still gets answers from beta
