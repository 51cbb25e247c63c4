Feature: Change of the coordinator

  As in edges.feature. In the coordinator's column, X followed by | is another member that has won the lease: it has the next term and an empty
  registry.

  Scenario: A new coordinator removes no live edge
    Given edges a1 to c4, grouped by zone
    When the following timeline runs
      """
        ms  coordinator  rest
         0       |        |
      3000       X        |   : in all
      4000       .        |
      5000       |        |
      5200       |        |   : in all
     12000       |        |   : in all; unchanged
      """
    Then all running edges have the same roster

  Scenario: Edges that failed while there was no coordinator stay listed for a while and are then removed
    Given edges a1 to c4, grouped by zone
    When the following timeline runs
      """
        ms  coordinator  a1  b1  rest
         0       |        |   |    |
      3000       X        |   |    |   : in all
      3500       .        !   X    |
      5000       |        .   .    |
      5300       |        .   .    |   : out a1 b1
     12000       |        .   .    |   : out a1 b1; unchanged
      """
    Then all running edges have the same roster

  Scenario: An edge that cannot reach the new coordinator yet stays listed until it has had time to connect
    Given edges a1 to c4, grouped by zone
    When the following timeline runs
      """
        ms  coordinator  a1  rest
         0       |        |    |
      3000       X        ~    |   : in all
      3300       |        ~    |
      3600       |        ~    |   : in all
      3650       |        |    |   : in all
      9000       |        |    |   : in all
      """
    Then all running edges have the same roster

  Scenario: The first edge to reach a new coordinator has no roster; this does not remove the others
    Given edges a1 to c4, grouped by zone
    When the following timeline runs
      """
        ms  coordinator  a1  rest
         0       |        |    |
      3000       X        X    |   : in all
      3200       .        .    ~
      3300       |        |    ~
      3500       |        |    |   : unpublished
      3700       |        |    |   : in all
      9000       |        |    |   : in all
      """
    Then all running edges have the same roster

  Scenario: Suspicions from before the change are reported to the new coordinator
    Given edges a1 to c4, grouped by zone
    When the following timeline runs
      """
        ms  coordinator  a1  rest
         0       |        |    |
      3000       X        z    |   : in all
      5000       |        z    |
      5300       |        z    |   : out a1
      9000       |        z    |   : out a1; unchanged
      """

  Scenario: After a pause, the coordinator does not remove an edge whose message is still unread
    Given edges a1 to a1, grouped by zone
    When the following timeline runs
      """
        ms  coordinator  a1
         0       |        |
      3000       |        X    : in all
      3300       z        .
      3500       z        |
      6000       |        |
      9000       |        |    : in all
      """
    Then at most 2 rosters were published

  Scenario: After a pause, the coordinator ignores outdated suspicions
    Given edges a1 to c4, grouped by zone
    When the following timeline runs
      """
        ms  coordinator  a1  rest
         0       |        |    |
      3000       z        z    |   : in all
      5000       z        |    |
      7000       |        |    |   : in all
      7100       |        |    |
     12000       |        |    |   : in all
      """
