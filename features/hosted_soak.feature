Feature: The hosted roles as processes, through faults drawn by chance
  Traffic goes on while processes are killed, frozen and stopped, disks are lost and the platform's
  store fails; a budget keeps the losses within what the deployment tolerates.

  Scenario: A short soak
    When a soak of 12 seconds is played with seed 5 over 3 gateways and 3 store machines
    Then faults have struck and everything that must hold of the soak has held

  Scenario: A soak that outlasts the time for which ended jobs are kept
    When a soak of 14 seconds is played with seed 21 over machines that keep ended jobs for 2 seconds
    Then faults have struck and everything that must hold of the soak has held

  Scenario: A soak with losses of power, clocks that jump and machines that change
    When a soak of 20 seconds is played with seed 13 of losses of power, clocks and changed machines
    Then faults have struck and everything that must hold of the soak has held
    And the run ended with disks lost while all others lost power

  Scenario: A soak in which workers start again under their ids
    When a soak of 15 seconds is played with seed 8 of workers that start again, new versions and kills
    Then faults have struck and everything that must hold of the soak has held
    And workers of both kinds have started again

  Scenario: A soak in which zones are evacuated and workers are cold after a start
    When a soak of 25 seconds is played with seed 2 of evacuated zones, cold workers and kills
    Then faults have struck and everything that must hold of the soak has held
    And zones were evacuated for longer than an evacuation may take, and workers were cold

  # Guards against texts that are joined of runs which know nothing of each other.
  Scenario: A soak in which leaders are lost in the middle of texts
    When a soak of 20 seconds is played with seed 3 of long texts and lost leaders
    Then faults have struck and everything that must hold of the soak has held
    And texts were taken up in their middle, and all are joined as they were asked for

  # Guards against orders of a holder whose steady clock stood still while its lease ran out.
  Scenario: A soak in which machines are suspended
    When a soak of 25 seconds is played with seed 4 of suspended machines
    Then faults have struck and everything that must hold of the soak has held
    And machines of both kinds were suspended, and a version was named

  Scenario: A soak in which requests crash the workers that run them
    When a soak of 25 seconds is played with seed 2 of requests that crash workers
    Then faults have struck and everything that must hold of the soak has held
    And requests have crashed three workers, and reached few after that

  # Guards against bounds on runs that a lost process forgets.
  Scenario: A soak in which items fail and requests crash workers while processes are lost
    When a soak of 15 seconds is played with seed 1 of items that fail while their leaders are lost
    Then faults have struck and everything that must hold of the soak has held
    And items have failed at each run and are listed as dead after few runs

  Scenario: A soak in which workers crash in series beside requests that crash them
    When a soak of 25 seconds is played with seed 2 of workers that crash in series beside requests that crash them
    Then faults have struck and everything that must hold of the soak has held
    And workers crashed in series, and items and innocent requests were served after it

  # Guards against streams that a planned stop cuts, and long bodies that arrive without a part.
  Scenario: A soak in which machines are stopped and workers refuse under long streams
    When a soak of 20 seconds is played with seed 2 of planned stops and refusals under long streams
    Then faults have struck and everything that must hold of the soak has held
    And gateways were stopped with streams in hand, and workers refused amid long bodies

  # Guards against answers that are cut in their head, or doubled, and look whole to a client.
  Scenario: A soak in which workers break answers
    When a soak of 15 seconds is played with seed 3 of broken answers, planned stops and reloads
    Then faults have struck and everything that must hold of the soak has held
    And answers of both services were broken in every way, and whole ones were compared

  Scenario: A soak in which workers break answers, with a grace period of 2 seconds
    When a soak of 15 seconds is played with seed 1 of broken answers, planned stops and reloads
    Then faults have struck and everything that must hold of the soak has held

  Scenario: The oracle of answers
    Then an answer with another request's status, stamp, id or body is at fault, a meant one is not
    And a stream with an event lost, repeated, mixed or changed is at fault, a cut one is not

  Scenario: Losses stay within what is tolerated
    Then at any order of faults no more disks are lost at once than tolerated
    And a machine counts as whole once it has had its time to catch up, a removed one's successor too
    And a disk may be lost while all others lose power, unless a machine is lost besides

  Scenario: A soak in which store machines' disks are full for a while
    When a soak of 12 seconds is played with seed 3 of full disks alone
    Then faults have struck and everything that must hold of the soak has held
    And a process ended by itself with exit code 1 and came back with what it had

  Scenario: A fault in a row whose machine is taken away meanwhile
    Then a machine that another fault took away is struck no more, and nothing is lost by it

  Scenario: A gateway that can't be sure of a key yet
    Then a gateway that says 503 for a key is asked again, and one that serves a gone key is at fault

  # Guards against an end by the kit's own kill that is judged as one of the process's own.
  Scenario: A replaced store machine
    Then a machine that is replaced is struck until it is gone

  Scenario: A gateway whose process takes seconds to start
    Then a request that times out unread on a connection of that time is no fault, one that ran is

  Scenario: Store machines whose processes take long to start
    Then a machine that is back counts as lost until its process has had its time to catch up
