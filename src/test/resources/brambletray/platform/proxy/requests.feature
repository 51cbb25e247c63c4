Feature: Requests through an edge

  Each column is a process, each row a time in ms; hosts are a, b and c. Rows are strict: an observed event that is not listed fails the timeline.
  In the broker's column "wants" is a slot request, "copy" marks a hedged one, "again" one after the request was sent to a host, "but a" one
  that excludes host a; "a SERVED 20" is a slot of host a released 20 ms after the send, "unused a" one released unused, and "forgets" a
  cancelled slot request. "X" crashes a host.

  Scenario: Requests succeed on a kept-alive connection
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

  Scenario: A hedged request is sent after the delay and answers first; the original is cancelled
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

  Scenario: The original answers first; the hedged request is cancelled
    Given a route of type idempotent for 2 hosts
    When this is played
      """
         ms | client        | broker                                        | a          | b
          0 | asks r1       | wants, grants a                               | reads r1   |
        200 |               | wants copy but a, grants b                    |            | reads r1
        230 | 200 a:r1      | a SERVED 230, b CANCELLED 30                  | answers r1 | loses r1
      """
    Then nothing is left over

  Scenario: A hedged request that gets no slot requests one again; the response cancels the last slot request
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

  Scenario: Requests that must not run twice are never hedged
    Given a route of type non_idempotent for 2 hosts
    When this is played
      """
         ms | client        | broker                          | a
          0 | posts r1      | wants, grants a                 | reads r1
       3000 | 200 a:r1      | a SERVED 3000                   | answers r1
      """
    Then nothing is left over

  Scenario: A host crashes with a complete request that may be repeated
    Given a route of type idempotent for 2 hosts
    When this is played
      """
         ms | client        | broker                                     | a        | b
          0 | posts r1      | wants, grants a                            | reads r1 |
         30 |               | a BROKEN 30, wants again but a, grants b   | X        | reads r1
         60 | 200 b:r1      | b SERVED 30                                |          | answers r1
      """
    Then nothing is left over

  Scenario: A host crashes with a complete request that must not run twice
    Given a route of type non_idempotent for 2 hosts
    When this is played
      """
         ms | client        | broker                                     | a
          0 | posts r1      | wants, grants a                            | reads r1
         30 | 502           | a BROKEN 30                                | X
      """
    Then nothing is left over

  Scenario: The hedged request fails while the original is active; its response is awaited
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

  Scenario: A host proves that it did not run the request; another host may run it, whatever its route type
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

  Scenario: A request is sent to no more hosts than the route allows
    Given a route of type idempotent for 2 hosts
    When this is played
      """
         ms | client        | broker                                     | a        | b
          0 | asks r1       | wants, grants a                            | reads r1 |
         10 |               | a NOT_RUN 10, wants again but a, grants b  | sheds r1, loses r1 | reads r1
         20 | 503 in 0.200  | b NOT_RUN 10                               |          | sheds r1, loses r1
      """
    Then nothing is left over

  Scenario: A host's failure is retried on another host, and passed on if that fails too
    Given a route of type idempotent for 2 hosts
    When this is played
      """
         ms | client        | broker                                     | a        | b
          0 | asks r1       | wants, grants a                            | reads r1 |
         10 |               | a FAILED 10, wants again but a, grants b   | fails r1 | reads r1
         20 | 500 a:r1      | b BROKEN 10                                |          | resets r1
      """
    Then nothing is left over

  Scenario: A host's failure is passed on if the request must not run twice; an unproven refusal is not
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

  Scenario: No connection is established; the request did not run, and the next slot request is not a retry
    Given a route of type non_idempotent for 1 host
    When this is played
      """
         ms | client        | broker                                            | a | b
          0 |               |                                                   | X |
          1 | posts r1      | wants, grants a, a UNREACHED 0, wants but a, grants b |   | reads r1
         10 | 200 b:r1      | b SERVED 9                                        |   | answers r1
      """
    Then nothing is left over

  Scenario: A booting host is tried until it is up
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

  Scenario: A host that does not boot in time has not run the request
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

  Scenario: Timed out or refused while waiting for a slot; the response has a retry time
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

  Scenario: Timed out at a host; the client gets 504 shortly before the deadline, and the host is left to finish
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

  Scenario: A client disconnects; a pending slot request is cancelled, a repeatable request at a host too
    Given a route of type idempotent for 2 hosts
    When this is played
      """
         ms | client          | client2 | broker               | a
          0 | asks r1         |         | wants                |
         10 | hangs-up        |         | forgets              |
         20 | asks r2         |         | wants, grants a      | reads r2
         30 | hangs-up        |         | a CANCELLED 10       | loses r2
        310 |                 | asks r3 | wants, grants a      | reads r3
        320 |                 | 200 a:r3 | a SERVED 10         | answers r3
      """
    Then nothing is left over

  Scenario: A client disconnects; a pending slot request is cancelled, a request at a host that must not be repeated is left to finish
    Given a route of type non_idempotent for 2 hosts
    When this is played
      """
         ms | client          | client2 | broker               | a
          0 | posts r1        |         | wants                |
         10 | hangs-up        |         | forgets              |
         20 | posts r2        |         | wants, grants a      | reads r2
         30 | hangs-up        |         |                      |
        300 |                 |         | a SERVED 280         | answers r2
        310 |                 | posts r3 | wants, grants a     | reads r3
        320 |                 | 200 a:r3 | a SERVED 10         | answers r3
      """
    Then nothing is left over

  Scenario: A request without a route is rejected at once
    Given a route of type idempotent for 2 hosts
    When this is played
      """
         ms | client          | broker                | a
          0 | nowhere r1, 404 |                       |
         10 | asks r2         | wants, grants a       | reads r2
         20 | 200 a:r2        | a SERVED 10           | answers r2
      """
    Then nothing is left over

  Scenario: A call made by a host is marked as nested
    Given a route of type idempotent for 2 hosts
    When this is played
      """
         ms | client-at-a     | broker                | b
          0 | asks r1         | wants inner, grants b | reads r1
         10 | 200 b:r1        | b SERVED 10           | answers r1
      """
    Then nothing is left over

  Scenario: A draining edge closes each connection after its response; one that stops accepting closes the idle ones
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

  Scenario: A hedged request whose host is unreachable goes to another host shortly after
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

  Scenario: A booting host that is lost is no longer waited for
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

  Scenario: Several requests wait for one booting host; one connection attempt at a time is made for all
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
