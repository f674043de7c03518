Feature: Steps of several trainers share engines by what they need
  Trainers wait for complete groups by the due time of their steps. Where steps of several trainers
  compete for engines, as many groups as possible are complete in time, and all others still end.

  Scenario: Any open steps
    Then the order has each group once and doesn't depend on the order of the steps
    And the number of groups in time is the largest possible, with late and surplus ones after them
    And late groups get slots while they have less than their share

  Scenario: Steps before any text has ended
    Then two trainers' steps of texts of unknown length are ordered by due time, none of them late

  Scenario: Any texts and any engines
    Then no engine gets more texts than it has slots and memory for
    And a text waits for a better engine for a bounded time only

  Scenario Outline: Replayed steps of several trainers
    Then under the load "<load>" no fewer wanted groups are in time than with the oldest step first

    Examples:
      | load                        |
      | full                        |
      | a third gone                |
      | four trainers, even engines |

  Scenario: A small step that is due beside a large one that is not
    Given a leader with model workers and scorers
    And the workers stream slowly
    When a job of 96 items in 12 groups is accepted
    And another trainer's job of 8 items in 2 groups is accepted that wants 1 of them
    Then its wanted group is complete before all items of the older job have started
    And the engines are told that its other group is less urgent

  Scenario: A text that does not fit into an engine's memory beside others
    Given a leader that accounts for the memory of engines
    And the engines have memory for 100 tokens and each item needs 40
    And the workers stream slowly
    When a job of 12 items in 3 groups is accepted
    Then every item has a completed result with its full text, versions and score
    And no engine ever ran more than 2 items
