Feature: Workers that crash by themselves, in series
  Workers of a service end several at once, are back soon and end again, under whatever they run. No
  request has caused it, and none may be kept from the workers for it once they stay.

  # Guards against items that are left lying since their workers crashed by themselves.
  Scenario: Items of a step whose engines crash in series
    Then over 100 drawn courses of 5 to 9 rounds no item lacks an engine for 5 s after the last round
