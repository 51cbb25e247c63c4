Feature: Keyed requests: the claim on their operation, and what becomes of it

  One column a process, time downwards in ms; hosts are a, b. The column "claims" is the edge's client of the core: "claim k1 for 80"
  is a request that waits 80 ms for it at most, "done 200 a:r1 sealed" an answer that is recorded, "released" a claim whose request
  has not run, "abandoned" one of which nobody knows. Rows are strict: whatever is seen and not drawn fails the timeline.

  Scenario: The claim comes before the slot, the answer is recorded
    Given a route of type keyed for 2 hosts
    When this is played
      """
         ms | client        | claims                     | broker             | a
          0 | keys r1       | claim k1 for 80            |                    |
         10 |               | grants                     | wants, grants a    | reads r1
         30 | 200 a:r1      | done 200 a:r1 sealed       | a SERVED 20        | answers r1
      """
    Then nothing is left over

  Scenario: Without its key, or with two, it is refused
    Given a route of type keyed for 2 hosts
    When this is played
      """
         ms | client        | claims
          0 | posts r1, 400      |
          2 | keys-twice r2, 400 |
      """
    Then nothing is left over

  Scenario: A repeat has the first one's answer and asks for no slot
    Given a route of type keyed for 2 hosts
    When this is played
      """
         ms | client        | claims                     | broker
          0 | keys r1       | claim k1 for 80            |
         50 | 200 first     | repeats 200 first          |
      """
    Then nothing is left over

  Scenario: A repeat of what is in work waits for its time, then 409
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

  Scenario: A repeat of what nobody can tell of is no promise
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

  Scenario: No claim is to be had: 503 with a time to come back
    Given a route of type keyed for 2 hosts
    When this is played
      """
         ms | client        | claims                     | broker
          0 | keys r1       | claim k1 for 80            |
         80 | 503 in 0.800  | refuses 800                |
      """
    Then nothing is left over

  Scenario: The client gives up while the claim is on its way
    Given a route of type keyed for 2 hosts
    When this is played
      """
         ms | client        | claims                     | broker
          0 | keys r1       | claim k1 for 80            |
         20 | hangs-up      | cancelled                  |
      """
    Then nothing is left over

  Scenario: No slot: the claim is released
    Given a route of type keyed for 2 hosts
    When this is played
      """
         ms | client        | claims                     | broker
          0 | keys r1       | claim k1 for 80            |
         10 |               | grants                     | wants
         40 | 503 in 0.300  | released                   | refuses 300
      """
    Then nothing is left over

  Scenario: The client leaves while its slot is awaited
    Given a route of type keyed for 2 hosts
    When this is played
      """
         ms | client        | claims                     | broker
          0 | keys r1       | claim k1 for 80            |
         10 |               | grants                     | wants
         40 | hangs-up      | released                   | forgets
      """
    Then nothing is left over

  Scenario: Both hosts prove that they did not run it
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

  Scenario: The host's connection breaks: nobody knows, and it is not sent again
    Given a route of type keyed for 2 hosts
    When this is played
      """
         ms | client        | claims                     | broker             | a
          0 | keys r1       | claim k1 for 80            |                    |
         10 |               | grants                     | wants, grants a    | reads r1
         40 | 502           | abandoned                  | a BROKEN 30        | resets r1
      """
    Then nothing is left over

  Scenario: A host's own failure is the operation's answer
    Given a route of type keyed for 2 hosts
    When this is played
      """
         ms | client        | claims                     | broker             | a
          0 | keys r1       | claim k1 for 80            |                    |
         10 |               | grants                     | wants, grants a    | reads r1
         40 | 500 a:r1      | done 500 a:r1              | a FAILED 30        | fails r1
      """
    Then nothing is left over

  Scenario: A promise without proof is no answer, and proves nothing
    Given a route of type keyed for 2 hosts
    When this is played
      """
         ms | client        | claims                     | broker             | a
          0 | keys r1       | claim k1 for 80            |                    |
         10 |               | grants                     | wants, grants a    | reads r1
         40 | 502           | abandoned                  | a FAILED 30        | hides r1
      """
    Then nothing is left over

  Scenario: The client is gone when the host answers: its answer is recorded
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

  Scenario: A silent host: 504 at the deadline, and nobody knows
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

  Scenario: An answer too large to be recorded
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

  Scenario: A claim that is too old is not used
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
