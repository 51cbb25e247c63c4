Feature: Failure detection among the edges

  One column per process, time in ms from top to bottom. States: | running, X killed, ! power loss, ~ isolated from all others, z paused,
  L leaving, a dot not running. The facts after the colon are checked at that time: which edges are in the roster (in), not listed (out) or
  leaving; "unchanged": no roster was published since the row above; "unpublished": none was published yet; "paused": the edge has detected one
  pause; "no-reports": the edge has reported no suspicion; "one-reporter": exactly one edge has reported the named one. Heartbeats are sent
  every 200 ms.

  Scenario: All edges are in the roster soon after the first start
    Given edges a1 to c4, grouped by zone
    When the following timeline runs
      """
        ms  coordinator  rest
         0       |        |
       250       |        |    : unpublished
       600       |        |    : in all
      9000       |        |    : in all; unchanged
      """
    Then all running edges have the same roster

  Scenario: An edge that is killed or loses power is removed within about a second
    Given edges a1 to c4, grouped by zone
    When the following timeline runs
      """
        ms  coordinator  a1  b2  rest
         0       |        |   |    |
      3000       |        X   |    |   : in all
      4000       |        .   !    |   : out a1
      5050       |        .   .    |   : out a1 b2
      9000       |        .   .    |   : out a1 b2; unchanged
      """
    Then all running edges have the same roster
    And at most 3 rosters were published

  Scenario: The report of one watcher is not enough to remove an edge
    Given edges a1 to c4, grouped by zone
    And no network path between a1 and its first watcher
    When the following timeline runs
      """
        ms  coordinator  a1  rest
         0       |        |    |
      3000       |        |    |   : in all
      9000       |        |    |   : in all; unchanged; one-reporter a1
      """

  Scenario: The report of one watcher is enough if the edge's link to the coordinator is closed
    Given edges a1 to c4, grouped by zone
    And no network path between a1 and its first watcher
    When the following timeline runs
      """
        ms  coordinator  a1  rest
         0       |        |    |
      3000       |        |    |   : in all
      6000       |        X    |   : in all; one-reporter a1
      6100       |        .    |   : out a1
      """

  Scenario: A restarted edge replaces its previous incarnation at once, and is not suspected for heartbeats which that one missed
    Given edges a1 to b3, grouped by zone
    When the following timeline runs
      """
        ms  coordinator  a1  rest
         0       |        |    |
      3000       |        X    |   : in all
      3300       |        |    |   : in all
      3500       |        |    |   : in all
      9000       |        |    |   : in all; unchanged
      """
    Then all running edges have the same roster

  Scenario: An edge is removed during a long pause, is listed again afterwards, and reports no suspicions
    Given edges a1 to c4, grouped by zone
    When the following timeline runs
      """
        ms  coordinator  a1  rest
         0       |        |    |
      3000       |        z    |   : in all
      4050       |        z    |   : out a1
      7000       |        |    |   : out a1; unchanged
      7200       |        |    |   : in all; paused a1; no-reports a1
     12000       |        |    |   : in all; unchanged; no-reports a1
      """
    Then all running edges have the same roster

  Scenario: An edge is not suspected after a short pause
    Given edges a1 to c4, grouped by zone
    When the following timeline runs
      """
        ms  coordinator  a1  rest
         0       |        |    |
      3000       |        z    |   : in all
      3450       |        |    |   : in all; unchanged
      9000       |        |    |   : in all; unchanged; no-reports a1
      """

  Scenario: Half of the edges pause together, as on one machine; on resuming they restart their time-outs
    Given edges a1 to c4, grouped by zone
    When the following timeline runs
      """
        ms  coordinator  a1 a2 a3 a4 b1 b2  rest
         0       |        |  |  |  |  |  |    |
      3000       |        z  z  z  z  z  z    |   : in all
      6000       |        |  |  |  |  |  |    |
      6300       |        |  |  |  |  |  |    |   : in all; paused a1; no-reports a1; no-reports a4; no-reports b2
     11000       |        |  |  |  |  |  |    |   : in all; unchanged
      """

  Scenario: An isolated edge is removed; its own reports have no effect, being late and from one edge only
    Given edges a1 to c4, grouped by zone
    When the following timeline runs
      """
        ms  coordinator  a1  rest
         0       |        |    |
      3000       |        ~    |   : in all
      4100       |        ~    |   : out a1
      9000       |        |    |   : out a1; unchanged
      9200       |        |    |   : in all
     15000       |        |    |   : in all; unchanged
      """
    Then all running edges have the same roster

  Scenario: A short isolation with late heartbeats has no effect
    Given edges a1 to c4, grouped by zone
    When the following timeline runs
      """
        ms  coordinator  a1  rest
         0       |        |    |
      3000       |        ~    |   : in all
      3500       |        |    |   : in all
      9000       |        |    |   : in all; unchanged
      """

  Scenario: Many edges fail at once, a whole zone and more
    Given edges a1 to c4, grouped by zone
    When the following timeline runs
      """
        ms  coordinator  a1 a2 a3 a4 b1 c1  rest
         0       |        |  |  |  |  |  |    |
      3000       |        !  !  !  !  !  X    |   : in all
      4300       |        .  .  .  .  .  .    |   : out a1 a2 a3 a4 b1 c1
     12000       |        .  .  .  .  .  .    |   : unchanged
      """
    Then all running edges have the same roster

  Scenario: One of two edges fails
    Given edges a1 to a2, grouped by zone
    When the following timeline runs
      """
        ms  coordinator  a1  a2
         0       |        |   |
      3000       |        !   |   : in all
      4100       |        .   |   : in a2
      9000       |        .   |   : in a2; unchanged
      """

  Scenario: The only edge fails, without any watcher
    Given edges a1 to a1, grouped by zone
    When the following timeline runs
      """
        ms  coordinator  a1
         0       |        |
      3000       |        X    : in all
      4100       |        .    : out a1
      6000       |        |    : unchanged
      6200       |        |    : in all
      """

  Scenario: A leaving edge stays listed until its process ends
    Given edges a1 to c2, grouped by zone
    When the following timeline runs
      """
        ms  coordinator  a1  rest
         0       |        |    |
      3000       |        L    |   : in all
      3200       |        L    |   : leaving a1
      6000       |        X    |   : leaving a1; unchanged
      6100       |        .    |   : leaving; out a1
      """
    Then all running edges have the same roster

  Scenario: Edges of two zones without a path between them, both connected to the coordinator, are not removed and added repeatedly
    Given edges a1 to c4, grouped by zone
    And no network path between zones a and b
    When the following timeline runs
      """
        ms  coordinator  rest
         0       |        |
      1400       |        |   : in all
     60000       |        |
      """
    Then at most 20 rosters were published
