Feature: The kernel starts, finds and stops services
  Services are found by name through typed interfaces, start after and stop before what they
  depend on, and leave nothing behind.

  Scenario: Services start in dependency order and stop in reverse
    Given a kernel with any acyclic set of dependent services
    Then the kernel starts each service after its dependencies and stops it before them

  Scenario: A start that fails halfway stops what had started
    Given a kernel whose services fail to start at any position
    Then the kernel raises that failure and has stopped every service that had started

  Scenario: A circle of dependencies is refused
    Given a kernel with services that depend on each other in a circle
    Then the kernel refuses to start and names the circle

  Scenario: A lookup by the wrong name or interface is refused
    Given a kernel with one service
    Then the kernel finds it by name and interface, and refuses any other name or interface

  Scenario: An executor is bounded and accepts again once calls have ended
    Given kernel executors with 2 threads and a queue of 3
    When 5 blocking calls are submitted to the executor
    Then the executor refuses the sixth call, which never runs
    And the executor accepts calls again after the first ones ended

  Scenario: An exception in a task is never silent
    Given kernel executors with 2 threads and a queue of 3
    When a submitted call and a long-running task raise
    Then the log has one task_failed event for each

  # Guards against a node that goes on without a part of its work after one exception.
  Scenario: A task that must go on is run again after each exception
    Given kernel executors with 2 threads and a queue of 3
    When a loop raises twice and then goes on until the executors stop
    Then the log has one task_restarted event for each exception, and the loop has ended

  Scenario: A clean stop leaves no thread
    Given kernel executors with 2 threads and a queue of 3
    When long-running tasks and calls are running and the executors stop
    Then no thread of the executors is left
