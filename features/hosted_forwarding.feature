Feature: A hosted gateway forwards requests and reports their outcome truthfully
  Workers fail in every way. A client gets the complete response to its own request or a truthful
  status: 503 only if the request has not run and will not.

  Background:
    Given workers "a" and "b" behind a gateway

  Scenario: A whole answer goes back unchanged
    When a client sends an idempotent request
    Then it gets the worker's signed answer

  Scenario Outline: A fault at one worker
    Given worker "a" will <fault>
    And worker "b" will <fault>
    When a client sends <kind> request
    Then it gets <status>, and the request ran <runs>

    Examples:
      | fault                      | kind              | status | runs     |
      | refuse once                | an idempotent     | 503    | 0 times  |
      | refuse once                | a single-run      | 503    | 0 times  |
      | lose the answer once       | an idempotent     | 502    | 2 times  |
      | lose the answer once       | a single-run      | 502    | 1 times  |
      | answer another id once     | an idempotent     | 502    | 2 times  |
      | answer another id once     | a single-run      | 502    | 1 times  |
      | answer unsigned once       | an idempotent     | 502    | 2 times  |
      | fail once                  | an idempotent     | 500    | 2 times  |
      | fail once                  | a single-run      | 500    | 1 times  |

  Scenario Outline: A fault at one worker only is hidden where that is allowed
    Given worker "a" is tried first and will <fault>
    When a client sends <kind> request
    Then it gets <status>, and the request ran <runs>

    Examples:
      | fault                  | kind          | status | runs    |
      | refuse once            | a single-run  | 200    | 1 times |
      | refuse once            | an idempotent | 200    | 1 times |
      | lose the answer once   | an idempotent | 200    | 2 times |
      | answer another id once | an idempotent | 200    | 2 times |
      | fail once              | an idempotent | 200    | 2 times |

  Scenario: A worker whose address another one has
    Given the workers' entries name other instances
    When a client sends a single-run request
    Then it gets 503, and the request ran 0 times

  Scenario: A refusal says when to come back
    Given worker "a" will refuse once
    And worker "b" will refuse once
    When a client sends an idempotent request
    Then its response has a Retry-After header

  Scenario: No answer within the time-out
    Given both workers take 3 s
    When a client sends an idempotent request whose route allows 300 ms
    Then it gets 504 within half a second of the timeout

  Scenario: No route, and no configuration
    When a client sends a request that matches no route
    Then it gets 404
    When the gateway has no configuration
    And a client sends an idempotent request
    Then it gets 503, and the request ran 0 times

  Scenario: A long body in pieces
    When a client sends a body of 3000000 bytes in chunks
    Then the worker got all of it

  Scenario: A stream that breaks is resumed behind its last whole event
    Given model workers behind the gateway
    And the next stream breaks in the middle of event 4
    When a client requests a resumable stream
    Then it gets every event once and in order

  # Guards against attempts among the workers that were ready when the request came.
  Scenario Outline: A further attempt when a worker has begun to drain meanwhile
    Given model workers behind the gateway
    And worker "a" is tried first, takes 0.4 s and <breaks>
    And as it runs, worker "b" begins to drain and worker "c" gets ready
    When a client sends <kind> request
    Then it gets status 200, "b" ran nothing, and "c" ran it

    Examples:
      | breaks                             | kind          |
      | breaks its stream in the 4th event | a resumable   |
      | loses its answer                   | an idempotent |

  Scenario: A stream that may not be resumed ends short
    Given model workers behind the gateway
    And the next stream breaks in the middle of event 4
    When a client requests a stream that is not resumable
    Then its response is cut off after event 3

  # Guards against an answer that is lost, and a place at the worker that stays taken.
  Scenario Outline: A header of a worker that stands on two lines
    Given <workers> behind the gateway
    And the workers fold a header of their answers
    When a client sends <request>
    Then it gets 200 with that header on one line
    And no request is in flight at a worker, and no client is watched

    Examples:
      | workers       | request               |
      | model workers | a streaming request   |
      | workers       | an idempotent request |

  # Guards against places at workers that stay taken for good.
  Scenario Outline: A stream of which nothing is read
    Given model workers behind the gateway
    When the server gets a stream's answer and <ends it>
    Then no request is in flight at a worker, and no client is watched

    Examples:
      | ends it                        |
      | closes it before it reads      |
      | can't write its status line    |

  Scenario: Attempts of every outcome in every order
    Then whatever the outcomes of its attempts, a request runs no more often than its route allows, and its status is true

  Scenario: Shares of a split route
    Then a route's requests are distributed by weight to within one request, for any weights

  Scenario: Attempts that are cancelled at any moment give their places back
    Given model workers behind the gateway
    Then streams cancelled at any moment leave no request in flight and no error behind

  Scenario: A client that leaves
    Given both workers take 3 s
    When a client sends an idempotent request and disconnects
    Then the gateway aborts its attempt within half a second

  Scenario: A client that a stopping gateway accepts last
    Given both workers take 1 s
    When the gateway shuts down gracefully, and a client's request arrives as it closes its listener
    Then that client gets its complete response
