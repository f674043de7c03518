Feature: Replicas are spread so that what may be lost at once never takes a majority
  The first voters of a shard and each later replacement come from the zones that hold the fewest.

  Scenario: The first voters
    Then for any machines in any zones the first voters are as evenly spread as the machines allow

  Scenario: Replicas that stand in one region
    Then the first voters and any replacement come from one region as long as it has machines left
    And in it they are as evenly spread over the zones as the machines allow

  Scenario: A replacement
    Then a replacement for a lost voter comes from a zone with the fewest voters left
