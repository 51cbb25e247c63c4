Feature: Validation of host responses and reuse of connections

  Scenario: Responses without a seal or id, encoded, garbled or unframed are invalid, and the request may have run
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

  Scenario: A response truncated in its body never reaches the client
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

  Scenario: A late surplus response that arrives before the next one is skipped completely
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

  Scenario: Blanks after a complete response also end the connection, as more bytes may follow
    Given a route of type idempotent for 2 hosts
    When this is played
      """
         ms | client      | broker              | a
          0 | asks r1     | wants, grants a     | reads r1
         10 | 200 a:r1    | a SERVED 10         | adds-blanks, answers r1, loses r1
      """
    Then nothing is left over

  Scenario: Responses with ambiguous framing or another HTTP version are invalid
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

  Scenario: A late refusal without an id proves nothing about the next request
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

  Scenario: An idempotent request is sent to another host after a late refusal without an id
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

  Scenario: Bytes after a complete response leave it valid but end the connection, as do bytes on an idle one
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

  Scenario: A large response is streamed; if it breaks off, the client's connection is cut
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

  Scenario: Idle connections are kept as long as the host states, else briefly for requests that must not run twice
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

  Scenario: When a host is gone, its requests are completed and its connections are not kept
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

  Scenario: Pipelined requests are served one at a time, and responses are sent in order
    Given a route of type idempotent for 2 hosts
    When this is played
      """
         ms | client           | broker              | a
          0 | asks-twice r1 r2 | wants, grants a     | reads r1
         10 | 200 a:r1         | a SERVED 10, wants, grants a | answers r1, reads r2
         20 | 200 a:r2         | a SERVED 10         | answers r2
      """
    Then nothing is left over

  Scenario: Idle connections are closed and slow requests are rejected
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

  Scenario: A client that does not read delays a large response without buffering it in memory
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

  Scenario: When a client disconnects during a large response that can be repeated, its host's connection is closed
    Given a route of type idempotent for 2 hosts
    When this is played
      """
         ms | client           | client2  | broker              | a
          0 | asks r1, sleeps  |          | wants, grants a     | reads r1
         10 |                  |          |                     | pours r1
         20 | hangs-up         |          | a CANCELLED 20      | loses r1
         40 |                  | asks r2  | wants, grants a     | reads r2
         50 |                  | 200 a:r2 | a SERVED 10         | answers r2
      """
    Then nothing is left over

  Scenario: When a client disconnects during a large response that must not be repeated, the host finishes and its connection is kept
    Given a route of type non_idempotent for 2 hosts
    When this is played
      """
         ms | client           | client2  | broker              | a
          0 | posts r1, sleeps |          | wants, grants a     | reads r1
         10 |                  |          |                     | pours r1
         20 | hangs-up         |          |                     |
         30 |                  |          | a SERVED 30         | ends r1
         40 |                  | posts r2 | wants, grants a     | reads r2
         50 |                  | 200 a:r2 | a SERVED 10         | answers r2
      """
    Then nothing is left over
