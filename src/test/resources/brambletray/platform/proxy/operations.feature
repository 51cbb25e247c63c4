Feature: Keyed requests and the claims on their operations

  Each column is a process, each row a time in ms; a and b are hosts. The column "claims" is the edge's claim client of
  the core: "claim k1 for 80" requests a claim and waits up to 80 ms for it, "done 200 a:r1 sealed" records an answer,
  "released" ends a claim whose request has not run, "abandoned" ends one whose result is unknown. Rows are strict: an
  observation that is not listed fails the timeline.

  Scenario: The claim is obtained before the slot, and the answer is recorded
    Given a route of type keyed for 2 hosts
    When this is played
      """
         ms | client        | claims                     | broker             | a
          0 | keys r1       | claim k1 for 80            |                    |
         10 |               | grants                     | wants, grants a    | reads r1
         30 | 200 a:r1      | done 200 a:r1 sealed       | a SERVED 20        | answers r1
      """
    Then nothing is left over

  Scenario: A request without a key or with two keys is rejected
    Given a route of type keyed for 2 hosts
    When this is played
      """
         ms | client        | claims
          0 | posts r1, 400      |
          2 | keys-twice r2, 400 |
      """
    Then nothing is left over

  Scenario: A repeat gets the first attempt's answer and requests no slot
    Given a route of type keyed for 2 hosts
    When this is played
      """
         ms | client        | claims                     | broker
          0 | keys r1       | claim k1 for 80            |
         50 | 200 first     | repeats 200 first          |
      """
    Then nothing is left over

  Scenario: A repeat of an operation in progress waits until its deadline, then gets 409
    Given a route of type keyed for 2 hosts
    When this is played
      """
         ms | client        | claims                     | broker
          0 | keys r1 800   | claim k1 for 80            |
         10 |               | in-work                    |
        779 |               |                            |
        780 | 409           | cancelled                  |
      """
    Then nothing is left over

  Scenario: A repeat of an operation with an unknown result is not reported as not run
    Given a route of type keyed for 2 hosts
    When this is played
      """
         ms | client        | claims                     | broker
          0 | keys r1 800   | claim k1 for 80            |
         10 | 502           | lost                       |
         20 | keys r2 800   | claim k1 for 80            |
         30 |               | unheard                    |
        800 | 504           | cancelled                  |
      """
    Then nothing is left over

  Scenario: If no claim can be obtained, the response is 503 with Retry-After
    Given a route of type keyed for 2 hosts
    When this is played
      """
         ms | client        | claims                     | broker
          0 | keys r1       | claim k1 for 80            |
         80 | 503 in 0.800  | refuses 800                |
      """
    Then nothing is left over

  Scenario: The client disconnects while the claim is pending
    Given a route of type keyed for 2 hosts
    When this is played
      """
         ms | client        | claims                     | broker
          0 | keys r1       | claim k1 for 80            |
         20 | hangs-up      | cancelled                  |
      """
    Then nothing is left over

  Scenario: If no slot is granted, the claim is released
    Given a route of type keyed for 2 hosts
    When this is played
      """
         ms | client        | claims                     | broker
          0 | keys r1       | claim k1 for 80            |
         10 |               | grants                     | wants
         40 | 503 in 0.300  | released                   | refuses 300
      """
    Then nothing is left over

  Scenario: The client disconnects while the slot request is pending
    Given a route of type keyed for 2 hosts
    When this is played
      """
         ms | client        | claims                     | broker
          0 | keys r1       | claim k1 for 80            |
         10 |               | grants                     | wants
         40 | hangs-up      | released                   | forgets
      """
    Then nothing is left over

  Scenario: Both hosts prove that they did not run the request
    Given a route of type keyed for 2 hosts
    When this is played
      """
         ms | client        | claims                     | broker                          | a           | b
          0 | keys r1       | claim k1 for 80            |                                 |             |
         10 |               | grants                     | wants, grants a                 | reads r1    |
         20 |               |                            | a NOT_RUN 10, wants again but a, grants b | declines r1 | reads r1
         30 | 503 in 0.200  | released                   | b NOT_RUN 10                    |             | declines r1
      """
    Then nothing is left over

  Scenario: If the host's connection breaks, the result is unknown and the request is not resent
    Given a route of type keyed for 2 hosts
    When this is played
      """
         ms | client        | claims                     | broker             | a
          0 | keys r1       | claim k1 for 80            |                    |
         10 |               | grants                     | wants, grants a    | reads r1
         40 | 502           | abandoned                  | a BROKEN 30        | resets r1
      """
    Then nothing is left over

  Scenario: A host's own failure is recorded as the operation's answer
    Given a route of type keyed for 2 hosts
    When this is played
      """
         ms | client        | claims                     | broker             | a
          0 | keys r1       | claim k1 for 80            |                    |
         10 |               | grants                     | wants, grants a    | reads r1
         40 | 500 a:r1      | done 500 a:r1              | a FAILED 30        | fails r1
      """
    Then nothing is left over

  Scenario: A refusal without proof is not a valid answer and does not release the claim
    Given a route of type keyed for 2 hosts
    When this is played
      """
         ms | client        | claims                     | broker             | a
          0 | keys r1       | claim k1 for 80            |                    |
         10 |               | grants                     | wants, grants a    | reads r1
         40 | 502           | abandoned                  | a FAILED 30        | hides r1
      """
    Then nothing is left over

  Scenario: The answer is recorded even if the client has disconnected
    Given a route of type keyed for 2 hosts
    When this is played
      """
         ms | client        | claims                     | broker             | a
          0 | keys r1       | claim k1 for 80            |                    |
         10 |               | grants                     | wants, grants a    | reads r1
         40 | hangs-up      |                            |                    |
        400 |               | done 200 a:r1 sealed       | a SERVED 390       | answers r1
      """
    Then nothing is left over

  Scenario: If the host is silent, the response is 504 at the deadline and the result is unknown
    Given a route of type keyed for 2 hosts
    When this is played
      """
         ms | client        | claims                     | broker             | a
          0 | keys r1 800   | claim k1 for 80            |                    |
         10 |               | grants                     | wants, grants a    | reads r1
        780 | 504           |                            |                    |
        950 |               | abandoned                  | a SILENT 940       | loses r1
      """
    Then nothing is left over

  Scenario: A response too large to be recorded abandons the claim
    Given a route of type keyed for 2 hosts
    When this is played
      """
         ms | client        | claims                     | broker             | a
          0 | keys r1       | claim k1 for 80            |                    |
         10 |               | grants                     | wants, grants a    | reads r1
         40 |               |                            |                    | pours r1
         60 | 200 1400000   | abandoned                  | a SERVED 50        | ends r1
      """
    Then nothing is left over

  Scenario: An expired claim is not used
    Given a route of type keyed for 2 hosts
    When this is played
      """
         ms | client        | claims                     | broker             | a
          0 | keys r1       | claim k1 for 80            |                    |
         10 |               | grants                     | wants              |
         20 |               | outdated                   |                    |
         30 | 503 in 0.200  | released                   | grants a, unused a |
      """
    Then nothing is left over
