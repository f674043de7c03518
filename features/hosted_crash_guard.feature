Feature: Which requests are taken for those that crash workers
  A worker that ends takes down all that it ran. What counts is the end of an incarnation; the request
  whose runs end workers wherever it runs is told from those that ran beside it.

  # Guards against ends that count for each gateway that reports them.
  Scenario: An end counts once, whoever reports it
    Then records in any order, doubled and late, lead all nodes to the same counts

  # Guards against popular requests that are refused since they ran beside a crashing one.
  Scenario: Requests that run beside a crashing one
    Then over 300 drawn courses the crashing request is quarantined after 3 to 6 ends
    And no request that ran beside it is quarantined, popular ones included

  Scenario: A flood of requests under which workers end
    Then 5000 requests with one end each do not evict a quarantined one

  Scenario Outline: What shows the end of a worker
    When a run breaks off and then <sign>
    Then the end counts <count> times

    Examples:
      | sign                                    | count |
      | nobody listens at the worker's address  | 1     |
      | the worker's entry goes                 | 1     |
      | the worker starts again under its id    | 1     |
      | the worker lives on                     | 0     |
      | the worker drains and goes              | 0     |
      | the entry goes while the store is away  | 0     |

  Scenario Outline: Runs that end without the worker's end
    When a request at a gateway meets <fault>
    Then no end counts

    Examples:
      | fault                        |
      | an answer that is lost       |
      | an answer cut in its middle  |
      | a refusal                    |
      | a time-out                   |
      | a failure of the worker      |

  Scenario: All nodes know soon
    Then each of 340 nodes in 8 zones knows of a quarantine once messages have passed
    And a node sends 20 messages at most for each end
    And a node that was cut off, one that starts and one that was halted know within 3 s
    And nodes that start one right after another know before they serve
    And a node that starts without anyone to ask does not wait
    And a node sends 3 KB a second at most while 512 requests are suspected
    And nothing is sent while no request is suspected

  Scenario: How a quarantine ends
    Then it ends ten minutes after the last end, and one more end renews it at once
    And a run that a worker survives ends it at all nodes
    And an operator can lift it, and only that one

  Scenario: Other requests
    Then requests that differ in method, host, path, query, tenant or body are other requests
    And parts that join to the same bytes are other requests

  Scenario: A stream that crashes workers
    When a stream is quarantined at a gateway
    Then it gets 503 with the time left, and reaches no worker

  Scenario: An item that crashes engines
    When one of 6 items of a step is quarantined
    Then the other items are listed and it reaches no worker

  Scenario: One gateway grants the trials of a service
    Given 8 gateways that know of a request with 3 ends
    When all gateways ask for a trial at once
    Then one trial is granted
    And 3 are granted in all, though the granting gateway leaves after each
    And every gateway is told to wait for more than 500 s

  # Guards against a trial that two nodes take since the one that grants it is away.
  Scenario: A granting gateway that does not answer
    Given 8 gateways that know of a request with 3 ends
    When the granting gateway is cut off and all others ask for a trial at once
    Then one trial is granted, by the next gateway by rank

  # Guards against a run at each gateway once the hold that all of them know is over.
  Scenario: The end of a hold at all gateways
    Given 8 gateways that know of a request with 3 ends
    When 601 s have passed and all gateways ask for a trial at once
    Then one trial is granted

  # Guards against requests that are refused for minutes since their workers crashed by themselves.
  Scenario Outline: A request whose workers crash three times and stay then
    Given a gateway with a guard and <workers> slow workers
    When all workers crash 3 times under a request to <path>
    Then it is served within 6 s, and refused with a Retry-After of 3 s at most before

    Examples:
      | workers | path        |
      | 1       | /single/x   |
      | 1       | /resumable/x |
      | 2       | /idempotent/x |
      | 2       | /stream/x   |

  Scenario Outline: A request that crashes workers, again and again
    Given a gateway with a guard and 2 slow workers
    When a request to <path> that crashes workers is sent until it is refused for minutes
    Then it has run 6 times at most, 3 of them later than 3 s after the third end
    And other requests are served

    Examples:
      | path         |
      | /single/x    |
      | /resumable/x |

  # Guards against an operator's release that a gateway ignores for minutes.
  Scenario Outline: A request that was told to wait is freed
    Given a guard that another gateway has told to let a request wait for 500 s
    When <event>
    Then the request may run at once

    Examples:
      | event                                 |
      | an operator releases it               |
      | another gateway tells that it was acquitted |
