Feature: Membership
  Every node knows which nodes are alive, from probes between nodes and without a master.

  Scenario: Nodes that know one seed find all others
    Given a membership of 5 nodes joined through one seed
    Then every live node's membership holds exactly the live nodes as alive

  Scenario: A crashed member is noticed by all, and a new process takes its name back
    Given a membership of 5 nodes joined through one seed
    When membership node n2 crashes
    Then every live node's membership holds exactly the live nodes as alive
    When membership node n2 starts again at another port
    Then every live node's membership holds exactly the live nodes as alive

  Scenario: A planned stop is spread as leaving, then as stopped
    Given a membership of 5 nodes joined through one seed
    When membership node n3 announces that it leaves
    Then every live node's membership holds n3 as leaving
    When membership node n3 stops
    Then every live node's membership holds exactly the live nodes as alive

  Scenario: Two regions that lost each other merge again without an operator
    Given a membership of 6 nodes in 2 regions under a file of network faults
    When the regions of the membership are cut off from each other
    Then every membership node holds exactly the nodes of its region as alive
    When the cut between the regions of the membership heals
    Then every live node's membership holds exactly the live nodes as alive

  Scenario: A node with another cluster key never becomes a member
    Given a membership of 3 nodes with one cluster key
    When a membership node with another cluster key joins through the seed
    Then every live node's membership refuses the stranger, which stays alone

  Scenario: A listener that raises does not stop the failure detector
    Given a membership of 3 nodes joined through one seed
    And a membership listener at node n0 that raises
    When membership node n2 crashes
    Then every live node's membership holds exactly the live nodes as alive
