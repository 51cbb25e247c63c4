Feature: One request's way through an edge

  One column a process, time downwards in ms; hosts are a, b, c. Rows are strict: whatever is seen and not drawn fails the timeline.
  In the broker's column "wants" is an ask, "wants again but a" one that has reached a, "a SERVED 20" a place given back after 20 ms,
  "unused a" one that was never used. X dies.

  Scenario: The ordinary path, on a connection that is kept
    Given a route of type idempotent for 2 hosts
    When this is played
      """
         ms | client        | broker                    | a
          0 | asks r1       | wants, grants a           | reads r1
         20 | 200 a:r1      | a SERVED 20               | answers r1
         50 | posts r2      | wants, grants a           | reads r2
         60 | 200 a:r2      | a SERVED 10               | chunks r2
         70 | trickles r3   | wants, grants a           | reads r3
         80 | 404 a:r3      | a SERVED 10               | finds-nothing r3
      """
    Then nothing is left over

  Scenario: A copy goes out after the delay, and answers first; the other is called off
    Given a route of type idempotent for 2 hosts
    When this is played
      """
         ms | client        | broker                                        | a        | b
          0 | asks r1       | wants, grants a                               | reads r1 |
        199 |               |                                               |          |
        200 |               | wants copy but a, grants b                    |          | reads r1
        230 | 200 b:r1      | b SERVED 30, a CANCELLED 230                  | loses r1 | answers r1
      """
    Then nothing is left over

  Scenario: The original answers first, the copy is called off
    Given a route of type idempotent for 2 hosts
    When this is played
      """
         ms | client        | broker                                        | a          | b
          0 | asks r1       | wants, grants a                               | reads r1   |
        200 |               | wants copy but a, grants b                    |            | reads r1
        230 | 200 a:r1      | a SERVED 230, b CANCELLED 30                  | answers r1 | loses r1
      """
    Then nothing is left over

  Scenario: A copy that finds no place asks again a few times, then no more; the answer ends it
    Given a route of type idempotent for 2 hosts
    When this is played
      """
         ms | client        | broker                          | a
          0 | asks r1       | wants, grants a                 | reads r1
        200 |               | wants copy but a, refuses       |
        250 |               | wants copy but a, refuses 300   |
        550 |               | wants copy but a                |
        560 | 200 a:r1      | a SERVED 560, forgets           | answers r1
      """
    Then nothing is left over

  Scenario: Requests that must not run twice are never copied
    Given a route of type non_idempotent for 2 hosts
    When this is played
      """
         ms | client        | broker                          | a
          0 | posts r1      | wants, grants a                 | reads r1
       3000 | 200 a:r1      | a SERVED 3000                   | answers r1
      """
    Then nothing is left over

  Scenario: A host dies with a whole request that may be repeated
    Given a route of type idempotent for 2 hosts
    When this is played
      """
         ms | client        | broker                                     | a        | b
          0 | posts r1      | wants, grants a                            | reads r1 |
         30 |               | a BROKEN 30, wants again but a, grants b   | X        | reads r1
         60 | 200 b:r1      | b SERVED 30                                |          | answers r1
      """
    Then nothing is left over

  Scenario: A host dies with a whole request that must not run twice
    Given a route of type non_idempotent for 2 hosts
    When this is played
      """
         ms | client        | broker                                     | a
          0 | posts r1      | wants, grants a                            | reads r1
         30 | 502           | a BROKEN 30                                | X
      """
    Then nothing is left over

  Scenario: One that fails while the other is out: wait for that
    Given a route of type idempotent for 2 hosts
    When this is played
      """
         ms | client        | broker                                     | a          | b
          0 | asks r1       | wants, grants a                            | reads r1   |
        200 |               | wants copy but a, grants b                 |            | reads r1
        210 |               | b BROKEN 10                                |            | resets r1
        900 | 200 a:r1      | a SERVED 900                               | answers r1 |
      """
    Then nothing is left over

  Scenario: A host that proves that it did not run; so another may, for any kind
    Given a route of type non_idempotent for 2 hosts
    When this is played
      """
         ms | client        | broker                                     | a        | b
          0 | posts r1      | wants, grants a                            | reads r1 |
         10 |               | a NOT_RUN 10, wants again but a, grants b  | sheds r1, loses r1 | reads r1
         20 | 200 b:r1      | b SERVED 10                                |          | answers r1
         50 | posts r2      | wants, grants a                            | reads r2 |
         60 |               | a WRONG_HOST 10, wants again but a         | misdirects r2, loses r2 |
         70 | 503 in 0.700  | refuses 700                                |          |
      """
    Then nothing is left over

  Scenario: As many hosts as the route allows, and no more
    Given a route of type idempotent for 2 hosts
    When this is played
      """
         ms | client        | broker                                     | a        | b
          0 | asks r1       | wants, grants a                            | reads r1 |
         10 |               | a NOT_RUN 10, wants again but a, grants b  | sheds r1, loses r1 | reads r1
         20 | 503 in 0.200  | b NOT_RUN 10                               |          | sheds r1, loses r1
      """
    Then nothing is left over

  Scenario: A host's own failure is tried elsewhere once, and passed on where that fails too
    Given a route of type idempotent for 2 hosts
    When this is played
      """
         ms | client        | broker                                     | a        | b
          0 | asks r1       | wants, grants a                            | reads r1 |
         10 |               | a FAILED 10, wants again but a, grants b   | fails r1 | reads r1
         20 | 500 a:r1      | b BROKEN 10                                |          | resets r1
      """
    Then nothing is left over

  Scenario: The failure of a host is the answer where it must not run twice; a promise without proof is not passed on
    Given a route of type non_idempotent for 2 hosts
    When this is played
      """
         ms | client        | broker              | a
          0 | posts r1      | wants, grants a     | reads r1
         10 | 504 a:r1      | a FAILED 10         | expires r1
         20 | posts r2      | wants, grants a     | reads r2
         30 | 502           | a FAILED 10         | hides r2
      """
    Then nothing is left over

  Scenario: No connection comes up: it did not run and did not arrive, the next ask is not a further one
    Given a route of type non_idempotent for 1 host
    When this is played
      """
         ms | client        | broker                                            | a | b
          0 |               |                                                   | X |
          1 | posts r1      | wants, grants a, a UNREACHED 0, wants but a, grants b |   | reads r1
         10 | 200 b:r1      | b SERVED 9                                        |   | answers r1
      """
    Then nothing is left over

  Scenario: A host that is still starting is tried until it is up
    Given a route of type idempotent for 2 hosts
    When this is played
      """
         ms | client        | broker                          | a
          0 |               |                                 | X
          1 | asks r1       | wants, grants a booting         |
        500 |               |                                 | rises
        520 |               |                                 |
        521 |               | a up                            | reads r1
        540 | 200 a:r1      | a SERVED 19                     | answers r1
      """
    Then nothing is left over

  Scenario: A host that does not start in time has run nothing
    Given a route of type non_idempotent for 2 hosts
    When this is played
      """
         ms | client         | broker                          | a
          0 |                |                                 | X
          1 | posts r1 500   | wants, grants a booting         |
        480 |                |                                 |
        481 | 503 in 0.200   | unused a                        |
      """
    Then nothing is left over

  Scenario: Out of time in line, refused in line, and told when to come back
    Given a route of type idempotent for 2 hosts
    When this is played
      """
         ms | client         | broker
          0 | asks r1 300    | wants
        280 | 503 in 0.200   | forgets
        300 | asks r2 300, 503 in 1.250 | wants, refuses 1250
        400 | asks r3 0, 503 in 0.200   |
      """
    Then nothing is left over

  Scenario: Out of time at a host: 504 a little before the end, and the host is left to finish
    Given a route of type non_idempotent for 2 hosts
    When this is played
      """
         ms | client         | broker               | a
          0 | posts r1 500   | wants, grants a      | reads r1
        479 |                |                      |
        480 | 504            |                      |
        490 |                | a FAILED 490         | expires r1
        500 | posts r2 500   | wants, grants a      | reads r2
        980 | 504            |                      |
       1149 |                |                      |
       1150 |                | a SILENT 650         | loses r2
      """
    Then nothing is left over

  Scenario: A client that is gone: in line it is forgotten, at a host it is left to finish there
    Given a route of type idempotent for 2 hosts
    When this is played
      """
         ms | client          | client2 | broker               | a
          0 | asks r1         |         | wants                |
         10 | hangs-up        |         | forgets              |
         20 | asks r2         |         | wants, grants a      | reads r2
         30 | hangs-up        |         |                      |
        300 |                 |         | a SERVED 280         | answers r2
        310 |                 | asks r3 | wants, grants a      | reads r3
        320 |                 | 200 a:r3 | a SERVED 10         | answers r3
      """
    Then nothing is left over

  Scenario: No route, no configuration for it: told at once
    Given a route of type idempotent for 2 hosts
    When this is played
      """
         ms | client          | broker                | a
          0 | nowhere r1, 404 |                       |
         10 | asks r2         | wants, grants a       | reads r2
         20 | 200 a:r2        | a SERVED 10           | answers r2
      """
    Then nothing is left over

  Scenario: A call made by a host is told apart
    Given a route of type idempotent for 2 hosts
    When this is played
      """
         ms | client-at-a     | broker                | b
          0 | asks r1         | wants inner, grants b | reads r1
         10 | 200 b:r1        | b SERVED 10           | answers r1
      """
    Then nothing is left over

  Scenario: Draining, each answer ends its connection; shut, the idle ones end
    Given a route of type idempotent for 2 hosts
    When this is played
      """
         ms | client         | client2  | client3 | edge   | broker               | a
          0 | asks r1        |          |         |        | wants, grants a      | reads r1
         10 |                | asks r2  |         |        | wants, grants a      | reads r2
         20 |                | 200 a:r2 |         |        | a SERVED 10          | answers r2
         30 |                |          |         | drains |                      |
         40 | 200 a:r1 close, closed |  |         |        | a SERVED 40          | answers r1
         50 |                |          | asks r3 |        | wants, grants a      | reads r3
         60 |                | closed   |         | shuts  |                      |
         70 |                |          | 200 a:r3 close, closed |  | a SERVED 20 | answers r3
      """
    Then nothing is left over

  Scenario: A copy whose host is out of reach goes elsewhere a little later
    Given a route of type idempotent for 2 hosts
    When this is played
      """
         ms | client     | broker                                        | a        | b | c
          0 | asks r1    | wants, grants a                               | reads r1 | X |
        200 |            | wants copy but a, grants b, b UNREACHED 0     |          |   |
        250 |            | wants copy but a b, grants c                  |          |   | reads r1
        260 | 200 c:r1   | c SERVED 10, a CANCELLED 260                  | loses r1 |   | answers r1
      """
    Then nothing is left over

  Scenario: A host that is gone before it was up is not waited for
    Given a route of type idempotent for 2 hosts
    When this is played
      """
         ms | client     | edge    | broker                                     | a | b
          0 |            |         |                                            | X |
          1 | asks r1    |         | wants, grants a booting                    |   |
        100 |            | loses a |                                            |   |
        121 |            |         | a UNREACHED 120, wants but a, grants b     |   | reads r1
        140 | 200 b:r1   |         | b SERVED 19                                |   | answers r1
      """
    Then nothing is left over

  Scenario: Several wait for one host that is starting: one knocks
    Given a route of type idempotent for 2 hosts
    When this is played
      """
         ms | client     | client2    | broker                            | a
          0 |            |            |                                   | X
          1 | asks r1    | asks r2    | wants, grants a booting, wants, grants a booting |
        100 |            |            |                                   | rises
        121 |            |            | a up, a up                        | reads r1, reads r2
        130 | 200 a:r1   | 200 a:r2   | a SERVED 9, a SERVED 9            | answers r1, answers r2
      """
    Then nothing is left over
