Feature: Slots of the instances of a service

  Scenario: A cold start: requests are queued and then served one after the other
    Given a service with 128 MB, concurrency 1, boot time 500 ms and target 1000 ms
    Then the timeline is
      """
      ms  | a                   | b                   | instances  | coordinator | home
      0   |                     |                     |            | instances   |
      10  | request 1           |                     |            |             | start
      15  |                     |                     |            | started h1  |
      20  |                     | request 1           |            |             |
      500 |                     |                     | h1 answers |             |
      530 |                     |                     |            |             | a1 h1
      590 | release 1 served 60 |                     |            |             | b1 h1
      650 |                     | release 1 served 60 |            |             |
      """

  Scenario: A slot is granted to one request at a time; nested calls go first, then higher priorities
    Given a service with 512 MB, concurrency 1, boot time 500 ms and target 1000 ms
    Then the timeline is
      """
      ms  | a                    | b                           | coordinator     | home
      0   |                      |                             | instances h1 up |
      10  | request 1            |                             |                 | a1 h1
      11  | request 2 priority 2 |                             |                 |
      12  |                      | request 1 priority 0        |                 |
      13  |                      | request 2 nested priority 2 |                 | start
      60  | release 1 served 50  |                             |                 | b2 h1
      110 |                      | release 2 served 50         |                 | b1 h1
      160 |                      | release 1 served 50         |                 | a2 h1
      """

  Scenario: A repeated request is granted the same slot if the grant was lost
    Given a service with 128 MB, concurrency 1, boot time 500 ms and target 1000 ms
    Then the timeline is
      """
      ms | a                   | coordinator     | home
      0  |                     | instances h1 up |
      10 | request 1           |                 | a1 h1
      30 | request 1           |                 | a1 h1
      70 | release 1 served 40 |                 |
      80 | release 1 served 40 |                 |
      90 | request 2           |                 | a2 h1
      """

  Scenario: An edge returns after its slot was reclaimed
    Given a service with 128 MB, concurrency 1, boot time 500 ms and target 1000 ms
    Then the timeline is
      """
      ms   | a                        | b                   | coordinator     | home
      0    |                          |                     | instances h1 up |
      10   | request 1 remaining 4000 |                     |                 | a1 h1
      20   | silent                   |                     |                 |
      1000 | gone                     |                     |                 |
      1100 |                          | request 1           |                 |
      2499 |                          |                     |                 |
      2500 |                          |                     |                 | b1 h1
      3000 | release 1 served 60      |                     |                 |
      3010 | request 2                |                     |                 |
      3020 |                          | release 1 served 60 |                 | a2 h1
      """

  Scenario: An edge that reports its slot before it is reclaimed keeps it
    Given a service with 128 MB, concurrency 1, boot time 500 ms and target 1000 ms
    Then the timeline is
      """
      ms   | a                        | b         | coordinator     | home
      0    |                          |           | instances h1 up |
      10   | request 1 remaining 6000 |           |                 | a1 h1
      1000 | gone                     |           |                 |
      2000 | held 1 h1                | request 1 |                 |
      2510 |                          |           |                 |
      2600 | release 1 served 60      |           |                 | b1 h1
      """

  Scenario: The slot of a broken response stays closed for a while, as the instance may still be at work
    Given a service with 128 MB, concurrency 1, boot time 500 ms and target 1000 ms
    Then the timeline is
      """
      ms  | a                    | instances  | coordinator     | home
      0   |                      | h1 answers | instances h1 up |
      10  | request 1            |            |                 | a1 h1
      110 | release 1 served 100 |            |                 |
      120 | request 2            |            |                 | a2 h1
      200 | release 2 broken 80  |            |                 |
      205 | request 3            |            |                 |
      303 |                      |            |                 |
      305 |                      |            |                 | a3 h1
      """

  Scenario: The slot of a cancelled request stays closed for a while, as an instance may work on without its client
    Given a service with 128 MB, concurrency 1, boot time 500 ms and target 1000 ms
    Then the timeline is
      """
      ms  | a                      | coordinator     | home
      0   |                        | instances h1 up |
      10  | request 1              |                 | a1 h1
      110 | release 1 served 100   |                 |
      120 | request 2              |                 | a2 h1
      200 | release 2 cancelled 80 |                 |
      205 | request 3              |                 |
      303 |                        |                 |
      305 |                        |                 | a3 h1
      """

  Scenario: A slot that is never released is freed 500 ms after the deadline of its request
    Given a service with 128 MB, concurrency 1, boot time 500 ms and target 1000 ms
    Then the timeline is
      """
      ms   | a                        | b         | coordinator     | home
      0    |                          |           | instances h1 up |
      10   | request 1 remaining 1000 |           |                 | a1 h1
      1000 |                          | request 1 |                 |
      1509 |                          |           |                 |
      1511 |                          |           |                 | b1 h1
      """

  Scenario: A slot is reserved for nested calls while client requests fill the others
    Given a service with 512 MB, concurrency 4, boot time 750 ms and target 1000 ms
    Then the timeline is
      """
      ms | a                   | b                   | coordinator     | home
      0  |                     |                     | instances h1 up |
      10 | request 1           |                     |                 | a1 h1
      20 |                     | request 1 nested    |                 | b1 h1
      30 |                     | release 1 served 10 |                 |
      40 | request 2           |                     |                 | a2 h1
      41 | request 3           |                     |                 | a3 h1
      42 | request 4           |                     |                 |
      43 |                     | request 2 nested    |                 | b2 h1
      44 |                     | request 3 nested    |                 |
      60 |                     | release 2 served 10 |                 | b3 h1
      70 |                     | release 3 served 10 |                 |
      80 | release 1 served 70 |                     |                 | a4 h1
      """

  Scenario: An instance that rejected a request as full is counted with one slot less for a while
    Given a service with 128 MB, concurrency 1, boot time 500 ms and target 1000 ms
    Then the timeline is
      """
      ms  | a                   | coordinator     | home
      0   |                     | instances h1 up |
      10  | request 1           |                 | a1 h1
      12  | release 1 not_run 2 |                 |
      13  | request 2           |                 |
      311 |                     |                 |
      313 |                     |                 | a2 h1
      """

  Scenario: Requests that would be late are rejected with a retry time, and the retry times are spread
    Given a service with 128 MB, concurrency 1, boot time 700 ms and target 300 ms
    Then the timeline is
      """
      ms  | a                    | coordinator     | home
      0   |                      | instances h1 up |
      10  | request 1 target 300 |                 | a1 h1
      90  | release 1 served 80  |                 |
      100 | request 2 target 300 |                 | a2 h1
      101 | request 3 target 300 |                 |
      102 | request 4 target 300 |                 | start
      103 | request 5 target 300 |                 | a5 rejected 260
      104 | request 6 target 300 |                 | a6 rejected 340
      """

  Scenario: A hedged request is never queued, and leaves the last slots free
    Given a service with 512 MB, concurrency 4, boot time 750 ms and target 1000 ms
    Then the timeline is
      """
      ms | a               | coordinator     | home
      0  |                 | instances h1 up |
      10 | request 1       |                 | a1 h1
      20 | request 2 hedge |                 | a2 h1
      30 | request 3       |                 | a3 h1
      40 | request 4 hedge |                 | a4 rejected -1
      50 | request 5       |                 | a5 h1
      """

  Scenario: Retries are rejected once the budget of the sliding window of 10 s is spent
    Given a service with 8 MB, concurrency 8, boot time 500 ms and target 1000 ms
    And a retry budget with a slack of 2 and a ratio of 0
    Then the timeline is
      """
      ms    | a               | coordinator     | home
      0     |                 | instances h1 up |
      10    | request 1       |                 | a1 h1
      9000  | request 2 retry |                 | a2 h1
      9500  | request 3 retry |                 | a3 h1
      9600  | request 4 retry |                 | a4 rejected -1
      18900 | request 5 retry |                 | a5 rejected -1
      19300 | request 6 retry |                 | a6 h1
      19400 | request 7 retry |                 | a7 rejected -1
      """
