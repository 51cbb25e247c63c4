Feature: Who lives among the edges

  One column a process, time downwards in ms. A process is killed at X, loses power at !, is cut off from all at ~, sleeps at z, is leaving
  at L, is not there at a dot. What stands behind the colon is seen at that time: who is in, or out, or leaving; "calm": no roster was said
  since the row above. Beats go out each 200 ms.

  Scenario: All are in soon after the first start
    Given edges a1 to c4, by zones
    When time passes
      """
        ms  hub  rest
         0   |    |
       250   |    |    : silent
       600   |    |    : in all
      9000   |    |    : in all; calm
      """
    Then all that run have the same roster

  Scenario: One that is killed is out within a second, and one that loses power too
    Given edges a1 to c4, by zones
    When time passes
      """
        ms  hub  a1  b2  rest
         0   |    |   |    |
      3000   |    X   |    |   : in all
      4000   |    .   !    |   : out a1
      5050   |    .   .    |   : out a1 b2
      9000   |    .   .    |   : out a1 b2; calm
      """
    Then all that run have the same roster
    And no more than 3 rosters were said

  Scenario: One watcher's word is not enough
    Given edges a1 to c4, by zones
    And no path between a1 and its first watcher
    When time passes
      """
        ms  hub  a1  rest
         0   |    |    |
      3000   |    |    |   : in all
      9000   |    |    |   : in all; calm; accuser a1
      """

  Scenario: One watcher's word is enough about one whose link to the hub is closed
    Given edges a1 to c4, by zones
    And no path between a1 and its first watcher
    When time passes
      """
        ms  hub  a1  rest
         0   |    |    |
      3000   |    |    |   : in all
      6000   |    X    |   : in all; accuser a1
      6100   |    .    |   : out a1
      """

  Scenario: One that starts anew replaces its old life at once, and is not suspected for what that missed
    Given edges a1 to b3, by zones
    When time passes
      """
        ms  hub  a1  rest
         0   |    |    |
      3000   |    X    |   : in all
      3300   |    |    |   : in all
      3500   |    |    |   : in all
      9000   |    |    |   : in all; calm
      """
    Then all that run have the same roster

  Scenario: One that slept long is out, comes back in, and accuses nobody
    Given edges a1 to c4, by zones
    When time passes
      """
        ms  hub  a1  rest
         0   |    |    |
      3000   |    z    |   : in all
      4050   |    z    |   : out a1
      7000   |    |    |   : out a1; calm
      7200   |    |    |   : in all; slept a1; quiet a1
     12000   |    |    |   : in all; calm; quiet a1
      """
    Then all that run have the same roster

  Scenario: One that slept shortly is missed by nobody
    Given edges a1 to c4, by zones
    When time passes
      """
        ms  hub  a1  rest
         0   |    |    |
      3000   |    z    |   : in all
      3450   |    |    |   : in all; calm
      9000   |    |    |   : in all; calm; quiet a1
      """

  Scenario: Half of them sleep at once, as on one machine; on waking they doubt themselves
    Given edges a1 to c4, by zones
    When time passes
      """
        ms  hub  a1 a2 a3 a4 b1 b2  rest
         0   |    |  |  |  |  |  |    |
      3000   |    z  z  z  z  z  z    |   : in all
      6000   |    |  |  |  |  |  |    |
      6300   |    |  |  |  |  |  |    |   : in all; slept a1; quiet a1; quiet a4; quiet b2
     11000   |    |  |  |  |  |  |    |   : in all; calm
      """

  Scenario: One that is cut off is out; it accuses others, too late and alone
    Given edges a1 to c4, by zones
    When time passes
      """
        ms  hub  a1  rest
         0   |    |    |
      3000   |    ~    |   : in all
      4100   |    ~    |   : out a1
      9000   |    |    |   : out a1; calm
      9200   |    |    |   : in all
     15000   |    |    |   : in all; calm
      """
    Then all that run have the same roster

  Scenario: A short cut, whose beats come late, leaves no trace
    Given edges a1 to c4, by zones
    When time passes
      """
        ms  hub  a1  rest
         0   |    |    |
      3000   |    ~    |   : in all
      3500   |    |    |   : in all
      9000   |    |    |   : in all; calm
      """

  Scenario: A wave of deaths, a zone and more
    Given edges a1 to c4, by zones
    When time passes
      """
        ms  hub  a1 a2 a3 a4 b1 c1  rest
         0   |    |  |  |  |  |  |    |
      3000   |    !  !  !  !  !  X    |   : in all
      4300   |    .  .  .  .  .  .    |   : out a1 a2 a3 a4 b1 c1
     12000   |    .  .  .  .  .  .    |   : calm
      """
    Then all that run have the same roster

  Scenario: Of two, one dies
    Given edges a1 to a2, by zones
    When time passes
      """
        ms  hub  a1  a2
         0   |    |   |
      3000   |    !   |   : in all
      4100   |    .   |   : in a2
      9000   |    .   |   : in a2; calm
      """

  Scenario: The last one dies, and nobody watches it
    Given edges a1 to a1, by zones
    When time passes
      """
        ms  hub  a1
         0   |    |
      3000   |    X    : in all
      4100   |    .    : out a1
      6000   |    |    : calm
      6200   |    |    : in all
      """

  Scenario: One that is leaving stays listed until it is gone
    Given edges a1 to c2, by zones
    When time passes
      """
        ms  hub  a1  rest
         0   |    |    |
      3000   |    L    |   : in all
      3200   |    L    |   : leaving a1
      6000   |    X    |   : leaving a1; calm
      6100   |    .    |   : leaving; out a1
      """
    Then all that run have the same roster

  Scenario: Zones that are cut from each other, both in touch with the hub, do not come and go
    Given edges a1 to c4, by zones
    And no path between zones a and b
    When time passes
      """
        ms  hub  rest
         0   |    |
      1400   |    |   : in all
     60000   |    |
      """
    Then no more than 20 rosters were said
