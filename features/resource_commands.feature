Feature: Commands on resources
  Operators apply, compare, wait for, watch and delete resources through any node.

  Background:
    Given a resource command line before a running node

  Scenario: A folder is applied, compared and waited for
    Given a resource folder with a policy, its weight version and a pool
    When the resource command "diff -f FOLDER" runs
    Then the resource command exits with 1 and prints "Policy/writer: would be created"
    When the resource command "apply -f FOLDER --dry-run" runs
    Then the resource command exits with 0 and prints "Policy/writer created (dry run)"
    When the resource command "apply -f FOLDER" runs
    Then the resource command exits with 0 and prints "Pool/engines created"
    When the resource command "wait policy/writer --for condition=InForce" runs
    Then the resource command exits with 0 and prints "condition=InForce"
    When the resource command "apply -f FOLDER" runs
    Then the resource command exits with 0 and prints "Policy/writer unchanged"
    When the resource command "diff -f FOLDER" runs
    Then the resource command exits with 0 and prints nothing
    When the resource command "get pools -o json" runs
    Then the resource command's JSON names the pool "engines"
    When the resource command "describe policy writer" runs
    Then the resource command exits with 0 and prints "in force on 1 of 1 nodes"
    When the resource command "status" runs
    Then the resource command exits with 0 and prints "in force"
    When the resource command "delete policy/writer" runs
    Then the resource command exits with 4 and reports "Pool/engines:spec.policies"
    When the resource command "delete pools engines" runs
    Then the resource command exits with 0 and prints "Pool/engines deleted"
    When the resource command "watch pools --from 0 --timeout 1 -o json" runs
    Then the resource command exits with 0 and prints "DELETED"

  Scenario: Every finding of every file is reported and nothing is sent
    Given a resource folder with two faulty documents
    When the resource command "apply -f FOLDER" runs
    Then the resource command exits with 3 and reports "did you mean model?"
    And the resource command reports "spec.subsetSize"
    And the resource command line's store holds nothing

  Scenario: The exit code tells what went wrong
    When the resource command "get policies nobody" runs
    Then the resource command exits with 7 and reports "there is no Policy nobody"
    When the resource command "get policies --address 127.0.0.1:1" runs
    Then the resource command exits with 6 and reports "unreachable"
    When the resource command "get windows" runs
    Then the resource command exits with 2 and reports "there is no kind windows"
    When the resource command "explain policy.spec.model" runs
    Then the resource command exits with 0 and prints "weight store"
