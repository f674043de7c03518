Feature: The time for which a machine was suspended counts
  While a machine is suspended its steady clock stands still, and every other machine goes on.

  Background:
    Given a machine that can be suspended

  # Guards against orders with a former fencing token, sent after the successor's.
  Scenario: A holder of the lease that was suspended operates no more
    When a holder of the lease is suspended until another node may hold it
    Then it may begin no operation

  # Guards against a view that lacks what changed meanwhile and is taken for current.
  Scenario: A view of a suspended machine is as old as it is
    When a machine with a current view is suspended for 8 s
    Then its view is at least 8 s old, and so is what it tells its peers

  # Guards against a worker that is sent a request whose client has given up.
  Scenario: A request's deadline passes while the machine is suspended
    When a machine with a request that has 3 s left is suspended for 8 s
    Then no time is left for the request

  # Guards against a key that was taken away and is still accepted.
  Scenario: A key under strict revocation is not accepted after a suspension
    When a machine whose configuration is current is suspended for longer than keys are accepted
    Then a known key is undecided

  # Guards against usage that is counted in windows that were over before it.
  Scenario: Usage after a suspension falls into the windows of its time
    When a machine that counts usage is suspended for 8 s
    Then its wall clock says the true time

  # Guards against a token of a node's caller that is not looked up again.
  Scenario: A clock of a node goes on while its machine is suspended
    When a node's clock is read before and after a suspension of 8 s
    Then at least 8 s have passed on it
