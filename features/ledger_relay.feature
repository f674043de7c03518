Feature: Calls to the ledger through another node
  A node that does not reach the machines that hold the ledger hands its calls to one that does.
  A command is applied at most once, whichever way it takes.

  Background:
    Given a ledger on three nodes with data folders, and four nodes without

  Scenario: Nodes that are cut off from the ledger
    When two of the nodes without data folders are cut off from the ledger
    Then each of them appends commands and reads them, each applied once
    And their calls go their own way again once the cut has healed

  Scenario: All nodes are cut off
    When all nodes without data folders are cut off from the ledger
    Then a command is surely not appended, and that is said within its time
    And their calls go their own way again once the cut has healed

  # Guards against calls that end without an outcome since the gateway that took them on is gone.
  Scenario Outline: A node that leaves takes no call on
    When two of the nodes without data folders are cut off from the ledger
    And another one leaves, and the others <know> it
    Then each of them appends commands and reads them, each applied once
    And the one that leaves has taken on no call

    Examples:
      | know        |
      | know        |
      | don't know  |

  Scenario: A commit that takes longer than a leader is looked for
    Given outcomes of calls come 1.5 seconds late
    Then a command is applied once, on its own way, and its caller is told so

  Scenario: Cuts, lost answers and heals in any order
    Then a command whose outcome is known was applied once or not at all, as it says
