Feature: Which bytes of a host are an answer

  Scenario: No stamp, no name, an encoding, garbage, no end: none of these is an answer, and each may have run
    Given a route of type non_idempotent for 1 host
    When this is played
      """
         ms | client      | broker              | a
          0 | posts r1    | wants, grants a     | reads r1
         10 | 502         | a BROKEN 10         | unsealed r1, loses r1
         20 | posts r2    | wants, grants a     | reads r2
         30 | 502         | a BROKEN 10         | unnamed r2, loses r2
         40 | posts r3    | wants, grants a     | reads r3
         50 | 502         | a BROKEN 10         | encodes r3, loses r3
         60 | posts r4    | wants, grants a     | reads r4
         70 | 502         | a BROKEN 10         | garbles r4, loses r4
         80 | posts r5    | wants, grants a     | reads r5
         90 | 502         | a BROKEN 10         | endless r5, loses r5
      """
    Then nothing is left over

  Scenario: An answer that is cut in its body never reaches the client
    Given a route of type idempotent for 2 hosts
    When this is played
      """
         ms | client      | broker                                     | a         | b
          0 | asks r1     | wants, grants a                            | reads r1  |
         10 |             |                                            | begins r1 |
         20 |             | a BROKEN 20, wants again but a, grants b   | cuts r1, loses r1 | reads r1
         30 | 200 b:r1    | b SERVED 10                                |           | answers r1
      """
    Then nothing is left over

  Scenario: A late surplus answer, where the next one is due, is skipped whole
    Given a route of type idempotent for 2 hosts
    When this is played
      """
         ms | client      | broker              | a
          0 | asks r1     | wants, grants a     | reads r1
         10 | 200 a:r1    | a SERVED 10         | answers r1
         20 | asks r2     | wants, grants a     | reads r2
         30 |             |                     | echoes r1 on r2
         40 | 200 a:r2    | a SERVED 20         | answers r2, loses r2
         50 | asks r3     | wants, grants a     | reads r3
         60 | 200 a:r3    | a SERVED 10         | answers r3
      """
    Then nothing is left over

  Scenario: Blanks behind a whole answer end the connection as well: whoever sends them may send more
    Given a route of type idempotent for 2 hosts
    When this is played
      """
         ms | client      | broker              | a
          0 | asks r1     | wants, grants a     | reads r1
         10 | 200 a:r1    | a SERVED 10         | adds-blanks, answers r1, loses r1
      """
    Then nothing is left over

  Scenario: An end that can be read in two ways, and another version: none of these is an answer
    Given a route of type non_idempotent for 1 host
    When this is played
      """
         ms | client      | broker              | a
          0 | posts r1    | wants, grants a     | reads r1
         10 | 502         | a BROKEN 10         | codes r1, loses r1
         20 | posts r2    | wants, grants a     | reads r2
         30 | 502         | a BROKEN 10         | codes-nothing r2, loses r2
         40 | posts r3    | wants, grants a     | reads r3
         50 | 502         | a BROKEN 10         | is-of-another-version r3, loses r3
      """
    Then nothing is left over

  Scenario: A late refusal without a name, where the next answer is due, proves nothing of the next request
    Given a route of type non_idempotent for 2 hosts
    When this is played
      """
         ms | client      | broker              | a
          0 | posts r1    | wants, grants a     | reads r1
         10 | 200 a:r1    | a SERVED 10         | answers r1
         20 | posts r2    | wants, grants a     | reads r2
         30 | 502         | a BROKEN 10         | sheds r1, loses r2
      """
    Then nothing is left over

  Scenario: One that may be repeated goes elsewhere after it
    Given a route of type idempotent for 2 hosts
    When this is played
      """
         ms | client      | broker                                    | a                  | b
          0 | posts r1    | wants, grants a                           | reads r1           |
         10 | 200 a:r1    | a SERVED 10                               | answers r1         |
         20 | posts r2    | wants, grants a                           | reads r2           |
         30 |             | a NOT_RUN 10, wants again but a, grants b | sheds r1, loses r2 | reads r2
         40 | 200 b:r2    | b SERVED 10                               |                    | answers r2
      """
    Then nothing is left over

  Scenario: Bytes behind a whole answer take nothing from it, and end the connection; so do those that come while nobody waits
    Given a route of type idempotent for 2 hosts
    When this is played
      """
         ms | client      | broker              | a
          0 | asks r1     | wants, grants a     | reads r1
         10 | 200 a:r1    | a SERVED 10         | adds, answers r1, loses r1
         20 | asks r2     | wants, grants a     | reads r2
         30 | 200 a:r2    | a SERVED 10         | answers r2
         40 |             |                     | echoes r1 on r2, loses r2
         50 | asks r3     | wants, grants a     | reads r3
         60 | 200 a:r3    | a SERVED 10         | leaves r3, loses r3
      """
    Then nothing is left over

  Scenario: A large answer is given on as it comes; broken off, the client's connection is cut
    Given a route of type idempotent for 2 hosts
    When this is played
      """
         ms | client      | client2     | broker              | a
          0 | asks r1     |             | wants, grants a     | reads r1
         10 |             |             |                     | pours r1
         20 | 200 1400000 |             | a SERVED 20         | ends r1
         30 |             | asks r2     | wants, grants a     | reads r2
         40 |             |             |                     | pours r2
         50 |             | cut         | a BROKEN 20         | resets r2
      """
    Then nothing is left over

  Scenario: Kept connections: as long as the host says; without its word briefly, for what must not run twice
    Given a route of type non_idempotent for 2 hosts
    When this is played
      """
         ms | client      | broker              | a
          0 | posts r1    | wants, grants a     | reads r1
         10 | 200 a:r1    | a SERVED 10         | keeps r1 5
       4000 | posts r2    | wants, grants a     | reads r2
       4010 | 200 a:r2    | a SERVED 10         | answers r2
       4600 | posts r3    | wants, grants a     | reads r3
       4610 | 200 a:r3    | a SERVED 10         | answers r3
       8600 |             |                     | loses r2
       9100 |             |                     | loses r3
      """
    Then nothing is left over

  Scenario: A host that is gone: what it is at ends, its connections are not kept
    Given a route of type idempotent for 2 hosts
    When this is played
      """
         ms | client      | client2  | edge    | broker              | a
          0 | asks r1     |          |         | wants, grants a     | reads r1
         10 |             | asks r2  |         | wants, grants a     | reads r2
         20 | 200 a:r1    |          |         | a SERVED 20         | answers r1
         30 |             |          | loses a |                     | loses r1
         40 |             | 200 a:r2 |         | a SERVED 30         | answers r2, loses r2
      """
    Then nothing is left over

  Scenario: One request at a time: what a client sends ahead waits for its turn, and answers come in order
    Given a route of type idempotent for 2 hosts
    When this is played
      """
         ms | client           | broker              | a
          0 | asks-twice r1 r2 | wants, grants a     | reads r1
         10 | 200 a:r1         | a SERVED 10, wants, grants a | answers r1, reads r2
         20 | 200 a:r2         | a SERVED 10         | answers r2
      """
    Then nothing is left over

  Scenario: Idle and slow clients
    Given a route of type idempotent for 2 hosts
    When this is played
      """
         ms | client     | client2  | broker              | a
          0 | begins     | asks r1  | wants, grants a     | reads r1
         10 |            | 200 a:r1 | a SERVED 10         | answers r1
       3000 | 408 close, closed |   |                     |
       5000 |            |          |                     | loses r1
      15250 |            | closed   |                     |
      """
    Then nothing is left over

  Scenario: A client that does not read holds a large answer up, and not in our memory
    Given a route of type idempotent for 2 hosts
    When this is played
      """
         ms | client           | broker              | a
          0 | asks r1, sleeps  | wants, grants a     | reads r1
         10 |                  |                     | pours r1
         20 |                  |                     | ends r1
         30 | wakes, 200 1400000 | a SERVED 30       |
      """
    Then nothing is left over

  Scenario: A client that goes amid a large answer: the host is left to finish, and its connection is kept
    Given a route of type idempotent for 2 hosts
    When this is played
      """
         ms | client           | client2  | broker              | a
          0 | asks r1, sleeps  |          | wants, grants a     | reads r1
         10 |                  |          |                     | pours r1
         20 | hangs-up         |          |                     |
         30 |                  |          | a SERVED 30         | ends r1
         40 |                  | asks r2  | wants, grants a     | reads r2
         50 |                  | 200 a:r2 | a SERVED 10         | answers r2
      """
    Then nothing is left over
