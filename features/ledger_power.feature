Feature: The ledger's files outlast a loss of power at any moment
  What a sync covered stays; of later writes each is there, missing or torn, and a name that was
  made, changed or removed without a sync of its folder is kept or lost by itself. A loss of power
  alone never costs a disk its identity, and nothing that was acknowledged or read is lost.

  Scenario: New folders
    Then a journal in new folders keeps its identity when the power goes right after its start

  Scenario: Lives of a journal that end by a loss of power, a kill or a clean close
    Then a journal keeps identity and groups over lives that end at any change of its files

  Scenario: What a journal read after a kill, before anything more was written
    Then a journal gives what it gave before when the power goes after a kill in the middle of a write

  Scenario: A loss of power while damaged files are put aside
    Then a damaged journal whose power goes while it starts over is whole or has a new identity

  Scenario: A start that can't read its files
    Then a journal whose files can't be opened keeps its identity for a later start

  Scenario: The placement
    Then a placement once saved is there, as saved or newer, after a loss of power at any change

  Scenario: Bulk data
    Then a blob whose append has returned is there after a loss of power in any life

  Scenario: A removed file that comes back
    Then a journal keeps its identity when its first start was killed and later the power goes
