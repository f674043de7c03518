Feature: Workers that crash by themselves, in series
  Workers of a service end several at once, are back soon and end again, under whatever they run. No
  request has caused it, and none may be kept from the workers for it once they stay.

  # Guards against items that are left lying since their workers crashed by themselves.
  Scenario: Items of a step whose engines crash in series
    Then over 100 drawn courses of 5 to 9 rounds no item lacks an engine for 5 s after the last round

  # Guards against one bound that is kept at the cost of the other.
  Scenario: Items that crash engines beside engines that crash in series
    Then over 100 drawn courses with 1 to 3 crashing items none of these runs more than 3 times later than 3 s after its third end
    And no other item lacks an engine for 5 s after the last end

  Scenario: Items that crash engines that stay otherwise
    Then over 100 drawn courses without rounds none of 1 to 3 crashing items runs more than 3 times later than 3 s after its third end
    And every other item is done within 20 s

  # Guards against requests that are suspended since more workers ended at one moment than are counted.
  Scenario: Many workers that end at one moment, each under another request
    Then none of 20 requests is suspended after 5 rounds in which all of 20 workers end

  # Guards against nodes that condemn, some time after a series, what the others know to be innocent.
  Scenario Outline: A node that learns of a series later
    Given a request that ran alone at one of 4 workers each time that all ended, 3 times
    When a node starts <seconds> s later and is told what the others know
    Then neither suspects the request enough to suspend it

    Examples:
      | seconds |
      | 1       |
      | 30      |
      | 500     |
