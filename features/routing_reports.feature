Feature: Reports of back ends from their owners
  The owner of a worker probes it and pushes reports to subscribed nodes, which otherwise probe it
  themselves.

  Background:
    Given 4 routing nodes and 4 application workers, where node N owns worker app-N

  Scenario: Only the owner probes
    When the routing nodes tick for 20 s
    Then each application worker was probed once per round

  Scenario: A worker's own word reaches all nodes with the owner's next probe
    When application worker app-1 reports that it is leaving and node 1 ticks once
    Then all routing nodes see app-1 as leaving

  Scenario: When an owner falls silent the others look for themselves
    When routing node 2 is disconnected from its peers and app-2 becomes unready
    And all routing nodes except 2 tick for 8 s
    Then all routing nodes except 2 see app-2 as not ready

  Scenario: A worker that only its owner can't reach is used by the others
    When routing node 3 cannot reach app-3
    And the routing nodes tick for 3 s
    Then only routing node 3 sees app-3 as not ready

  Scenario: Whatever is lost, changed or moved, the views come back to the truth
    Then the routing views converge after any message loss, state change and ownership change

  Scenario Outline: Drafts of one node keep out of the way of another node's callers
    When node <node> sends an interactive request to app-2 and the nodes tick for 2 s
    Then all routing nodes see interactive use of app-2

    Examples: another node than the owner, and the owner
      | node |
      | 0    |
      | 2    |

  # Guards against known subscriptions that lapse because a new one finds no place.
  Scenario: An owner at its bound of subscriptions
    Given an owner with as many subscriptions as it may have, some of them of node "n"
    When node "n" renews them in any order, beside new ones
    Then all subscriptions that node "n" had are alive when they would have lapsed

  Scenario: An owner sends less often to more subscribers
    Then an owner's reports stay within the bandwidth limit for any number of subscriptions
