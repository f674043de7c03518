Feature: The stand-in object API keeps versions, serves watches and loses answers on command

  Scenario: Stand-in store writes with lost answers can always be read back
    Then any sequence of racing, lost, refused and repeated stand-in store writes agrees with an oracle

  Scenario: A stand-in store watch gets each change once, in order, from its revision on
    Given a running stand-in object API
    And 3 stand-in objects were written
    When a stand-in watch from revision 1 runs while 2 more objects are written and one is deleted
    Then the stand-in watch has seen the revisions 2, 3, 4, 5, 6 and the last one as a deletion

  Scenario: A compacted stand-in store sends a watch back to the list
    Given a running stand-in object API
    And 3 stand-in objects were written
    And the stand-in store is compacted
    Then a stand-in watch from revision 1 ends as compacted
    And a stand-in watch from the list's revision sees the next write

  Scenario: An open stand-in watch is told when the store compacts past it
    Given a running stand-in object API that keeps 2 changes
    When a stand-in watch that lags behind is overtaken by 20 writes
    Then the stand-in watch has seen every revision or ends as compacted

  Scenario: The stand-in store serves a few watches only
    Given a running stand-in object API that serves 2 watches
    When 2 stand-in watches are open
    Then one more stand-in watch is refused as overloaded
    And once a stand-in watch is closed by its reader another one is served

  Scenario: Lagging stand-in reads show an earlier state, a single read never does
    Given a running stand-in object API
    And 2 stand-in objects were written
    When stand-in lists lag by 30 seconds
    Then the stand-in list shows none of the objects while a single read shows them

  Scenario: A restarted stand-in store goes on from its file, whatever byte it was cut at
    Then cutting the stand-in store's file at any byte leaves a prefix of its whole changes

  Scenario: A stand-in machine list shows a change only after its lag
    Given a running stand-in machine list with a lag of 2 seconds
    When a stand-in machine is added and marked as leaving
    Then the stand-in list shows no machine at first, and the leaving one in the end

  Scenario: An unchanged stand-in machine list is not sent again, a changed one is
    Given a running stand-in machine list with a lag of 0 seconds
    When a stand-in machine is added and marked as leaving
    Then two more stand-in list readings carry the list 0 times and give it both times
    And a stand-in list reading after one more machine was added shows it

  Scenario: Stand-in weight fetches share the store's bandwidth and are refused beyond a few
    Given a running stand-in weight store with 2 fetches at once
    When two stand-in fetches of the same version run together
    Then a third stand-in fetch is refused as overloaded
    And both stand-in fetches together took at least the time of the bytes at the store's bandwidth

  Scenario: A stand-in scorer gives the same score to the same sample and refuses what is too much
    Given a running stand-in scorer that scores one sample at once and hangs on the first
    Then a second stand-in score is refused as overloaded
    And the same stand-in sample scored twice gets the same score
