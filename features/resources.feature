Feature: Resources with compare-and-set writes
  Operators write policies, weight versions, pools and comparisons; of two racing ones, one is
  told of the conflict, and a lost answer is read back.

  Scenario: Racing operators with lost answers against a compare-and-set oracle
    Given a resource store whose answers are lost and whose requests come late
    Then no run of the operators' state machine reports an outcome that is not true

  Scenario: All faults of a document are found at once
    Given a resource node
    When the resource document below is created
      """
      apiVersion: bellweir.dev/v2
      kind: Pool
      metadata: {name: Upper}
      spec:
        kind: engine
        strategie: round_robin
        subsetSize: 0
        workers: [{name: w, adress: "a:1", zone: z}]
      """
    Then the resource findings are
      | path                    | found                   | allowed                    |
      | apiVersion              | bellweir.dev/v2         | bellweir.dev/v1            |
      | metadata.name           | Upper                   | pattern                    |
      | spec.strategie          | unknown key 'strategie' | did you mean strategy?     |
      | spec.subsetSize         | 0                       | greater than or equal to 1 |
      | spec.workers[0].address | nothing                 | required                   |
      | spec.workers[0].adress  | unknown key 'adress'    | did you mean address?      |
    And the resource store holds nothing

  Scenario: References are checked against the configuration in force
    Given a resource node with policy "north"
    When the resource document below is created
      """
      kind: Comparison
      metadata: {name: test}
      spec:
        policy: north
        arms:
        - {name: old, policy: nort, share: 1}
        - {name: new, policy: north, version: 7, share: 1}
      """
    Then the resource findings are
      | path                 | found | allowed                       |
      | spec.arms[0].policy  | nort  | did you mean north?           |
      | spec.arms[1].version | 7     | a version of north            |

  Scenario: Of two racing operators one gets a conflict that names what changed
    Given a resource node with policy "north"
    When two operators replace resource policy "north" from the same version
    Then the first resource write succeeds with generation 2
    And the second resource write is a conflict that names "spec.model"

  Scenario: A status report between an operator's look and write is no conflict
    Given a resource node with policy "north"
    And resource policy "north" is looked at by two operators
    When resource conditions "Ready" and "InForce" are reported by two reporters
    And the first resource operator replaces what they looked at
    Then the first resource write succeeds with generation 2
    When resource conditions "Ready" and "InForce" are reported by two reporters
    And the second resource operator replaces what they looked at
    Then the second resource write is a conflict that names "spec.model"

  Scenario: A policy that is in use is not deleted
    Given a resource node with policy "north"
    And a resource pool "pool" that serves "north"
    When resource policy "north" is deleted
    Then the resource deletion is refused as in use by "Pool/pool"
    When resource pool "pool" and then policy "north" are deleted
    Then the resource store holds nothing

  Scenario: A race between a deletion and a write that names the resource has one winner
    Given two resource nodes before one store
    Then no resource race of deletions and references leaves a name that nothing has

  Scenario: What is being deleted can't be named, until its mark expires
    Given a resource node with policy "north"
    And resource policy "north" is marked as being deleted
    Then a resource pool that serves "north" is refused
    When the resource mark has expired
    Then a resource pool that serves "north" is created

  Scenario: A dry run changes nothing and finds what a write would find
    Given a resource node with policy "north"
    When resource policy "north" is patched to model "new" as a dry run
    Then the dry run shows resource model "new" and generation 2
    And the resource store is at revision 1

  Scenario: A status report is no change of the spec
    Given a resource node with policy "north"
    When resource conditions "Ready" and "InForce" are reported by two reporters
    Then resource policy "north" has both conditions and generation 1
    When the same resource condition "Ready" is reported again
    Then the resource store is at revision 3

  Scenario Outline: A write whose answer was lost and that others overtook is told truly
    Given a resource node with policy "north"
    When the answer to a <write> of a resource is lost and others <meanwhile> before it is read back
    Then that resource write is reported as <told>

    Examples:
      | write       | meanwhile            | told     |
      | creation    | delete and create it | unknown  |
      | replacement | delete and create it | unknown  |
      | replacement | delete it            | unknown  |
      | replacement | replace it           | done     |
      | replacement | stop the store       | unknown  |
      | late write  | replace it           | conflict |
      | deletion    | create it            | unknown  |
      | repetition  | stop the store       | unknown  |

  Scenario: The page of resource fields is the code's, and no field lacks its meaning
    Then the resource reference is the page "docs/RESOURCES.md"
    And every resource field has a meaning
    And the resource path "pools.spec.workers.address" is explained as "`host:port`"

  Scenario: Whatever an operator sends is answered by findings, never by a failure
    Given a resource node with policy "north"
    Then any document and any merge patch gets a resource or findings with paths

  Scenario: A number that is none is refused
    Given a resource node with policy "north"
    When the resource document below is created
      """
      kind: Comparison
      metadata: {name: test}
      spec:
        policy: north
        arms:
        - {name: old, policy: north, share: .nan}
        - {name: new, policy: north, share: .inf}
      """
    Then the resource findings are
      | path               | found    | allowed       |
      | spec.arms[0].share | NaN      | finite number |
      | spec.arms[1].share | Infinity | finite number |

  Scenario: The version of an operator's write stays while the system reports
    Given a resource node with policy "north"
    Then the resource in force was last written by an operator at version 1
    When resource conditions "Ready" and "InForce" are reported by two reporters
    Then the resource in force was last written by an operator at version 1
    When two operators replace resource policy "north" from the same version
    Then the resource in force was last written by an operator at version 4

  Scenario: Weight versions that are long superseded are deleted, named ones stay
    Given a resource node that reports for its cluster and a policy that keeps 3 versions
    And weight versions 1 to 9 of the resource policy, of which it wants 2 and a comparison 4
    When the resource node looks for superseded versions twice
    Then the resource store holds the weight versions 2, 4, 7, 8, 9
