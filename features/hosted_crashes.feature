Feature: A request that crashes the workers that run it
  Workers end while they run it and are back after a while; it comes again, with the same path, caller
  and body, at any gateway.

  # Guards against one request that takes a service down for as long as it comes.
  Scenario Outline: A request that crashes workers reaches few of them after the third crash
    Given hosted processes, 3 gateways and 3 store machines
    When a request to "<path>" that crashes its worker comes each 0.4 s at any gateway for 15 s
    Then it has crashed 3 workers at least
    And later than 3 s after the third crash it has reached workers 3 times at most
    And 9 of 10 ordinary requests later than that were served

    Examples:
      | path     |
      | /price/x |
      | /score/x |
      | /bid/x   |
