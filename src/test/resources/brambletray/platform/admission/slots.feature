Feature: Places at the hosts of a service

  Scenario: From nothing: a start, the line, one place after the other
    Given a service of 128 MB, 1 at once, 500 ms to start, its target 1000 ms
    Then it goes
      """
      ms   | a               | b               | hosts      | hub     | home
      0    |                 |                 |            | hosts   |
      10   | ask 1           |                 |            |         | need
      15   |                 |                 |            | born h1 |
      20   |                 | ask 1           |            |         |
      500  |                 |                 | h1 answers |         |
      530  |                 |                 |            |         | a1 h1
      590  | done 1 served 60|                 |            |         | b1 h1
      650  |                 | done 1 served 60|            |         |
      """

  Scenario: A host's last places are given to no two; priority goes first, calls of hosts before it
    Given a service of 512 MB, 1 at once, 500 ms to start, its target 1000 ms
    Then it goes
      """
      ms   | a                | b                  | hub         | home
      0    |                  |                    | hosts h1 up |
      10   | ask 1            |                    |             | a1 h1
      11   | ask 2 priority 2 |                    |             |
      12   |                  | ask 1 priority 0   |             |
      13   |                  | ask 2 inner priority 2 |         | need
      60   | done 1 served 50 |                    |             | b2 h1
      110  |                  | done 2 served 50   |             | b1 h1
      160  |                  | done 1 served 50   |             | a2 h1
      """

  Scenario: A home's answer is lost: the same ask gets the same place
    Given a service of 128 MB, 1 at once, 500 ms to start, its target 1000 ms
    Then it goes
      """
      ms   | a               | hub         | home
      0    |                 | hosts h1 up |
      10   | ask 1           |             | a1 h1
      30   | ask 1           |             | a1 h1
      70   | done 1 served 40|             |
      80   | done 1 served 40|             |
      90   | ask 2           |             | a2 h1
      """

  Scenario: An edge freezes with a place, and wakes after it was reclaimed
    Given a service of 128 MB, 1 at once, 500 ms to start, its target 1000 ms
    Then it goes
      """
      ms    | a                 | b                | hub         | home
      0     |                   |                  | hosts h1 up |
      10    | ask 1 left 4000   |                  |             | a1 h1
      20    | z                 |                  |             |
      1000  | X                 |                  |             |
      1100  |                   | ask 1            |             |
      2499  |                   |                  |             |
      2500  |                   |                  |             | b1 h1
      3000  | done 1 served 60  |                  |             |
      3010  | ask 2             |                  |             |
      3020  |                   | done 1 served 60 |             | a2 h1
      """

  Scenario: An edge wakes before its place was reclaimed, and tells: it is still its own
    Given a service of 128 MB, 1 at once, 500 ms to start, its target 1000 ms
    Then it goes
      """
      ms    | a                 | b                | hub         | home
      0     |                   |                  | hosts h1 up |
      10    | ask 1 left 6000   |                  |             | a1 h1
      1000  | X                 |                  |             |
      2000  | held 1 h1         | ask 1            |             |
      2510  |                   |                  |             |
      2600  | done 1 served 60  |                  |             | b1 h1
      """

  Scenario: The answer is lost and the host works on: its place stays closed for a while
    Given a service of 128 MB, 1 at once, 500 ms to start, its target 1000 ms
    Then it goes
      """
      ms    | a                   | hosts      | hub         | home
      0     |                     | h1 answers | hosts h1 up |
      10    | ask 1               |            |             | a1 h1
      110   | done 1 served 100   |            |             |
      120   | ask 2               |            |             | a2 h1
      200   | done 2 broken 80    |            |             |
      205   | ask 3               |            |             |
      303   |                     |            |             |
      305   |                     |            |             | a3 h1
      """

  Scenario: A place given to a request that was never heard of again comes back half a second after its time
    Given a service of 128 MB, 1 at once, 500 ms to start, its target 1000 ms
    Then it goes
      """
      ms    | a               | b               | hub         | home
      0     |                 |                 | hosts h1 up |
      10    | ask 1 left 1000 |                 |             | a1 h1
      1000  |                 | ask 1           |             |
      1509  |                 |                 |             |
      1511  |                 |                 |             | b1 h1
      """

  Scenario: Parents fill all places while their children wait: a place was kept for these
    Given a service of 512 MB, 4 at once, 750 ms to start, its target 1000 ms
    Then it goes
      """
      ms    | a                 | b                 | hub         | home
      0     |                   |                   | hosts h1 up |
      10    | ask 1             |                   |             | a1 h1
      20    |                   | ask 1 inner       |             | b1 h1
      30    |                   | done 1 served 10  |             |
      40    | ask 2             |                   |             | a2 h1
      41    | ask 3             |                   |             | a3 h1
      42    | ask 4             |                   |             |
      43    |                   | ask 2 inner       |             | b2 h1
      44    |                   | ask 3 inner       |             |
      60    |                   | done 2 served 10  |             | b3 h1
      70    |                   | done 3 served 10  |             |
      80    | done 1 served 70  |                   |             | a4 h1
      """

  Scenario: A host that turned a request away is counted fuller for a while
    Given a service of 128 MB, 1 at once, 500 ms to start, its target 1000 ms
    Then it goes
      """
      ms    | a                 | hub         | home
      0     |                   | hosts h1 up |
      10    | ask 1             |             | a1 h1
      12    | done 1 not_run 2  |             |
      13    | ask 2             |             |
      311   |                   |             |
      313   |                   |             | a2 h1
      """

  Scenario: What a wait would make late is refused at once with when to come back, and returns are spread
    Given a service of 128 MB, 1 at once, 700 ms to start, its target 300 ms
    Then it goes
      """
      ms    | a                          | hub         | home
      0     |                            | hosts h1 up |
      10    | ask 1 target 300           |             | a1 h1
      90    | done 1 served 80           |             |
      100   | ask 2 target 300           |             | a2 h1
      101   | ask 3 target 300           |             |
      102   | ask 4 target 300           |             | need
      103   | ask 5 target 300           |             | a5 no 260
      104   | ask 6 target 300           |             | a6 no 340
      """

  Scenario: A copy never waits, and leaves the last places
    Given a service of 512 MB, 4 at once, 750 ms to start, its target 1000 ms
    Then it goes
      """
      ms    | a               | hub         | home
      0     |                 | hosts h1 up |
      10    | ask 1           |             | a1 h1
      20    | ask 2 copy      |             | a2 h1
      30    | ask 3           |             | a3 h1
      40    | ask 4 copy      |             | a4 no -1
      50    | ask 5           |             | a5 h1
      """

  Scenario: Further tries are refused once the budget of any ten seconds is spent
    Given a service of 8 MB, 8 at once, 500 ms to start, its target 1000 ms
    And a slack of 2 further tries, and none for each request
    Then it goes
      """
      ms    | a                | hub         | home
      0     |                  | hosts h1 up |
      10    | ask 1            |             | a1 h1
      9000  | ask 2 again      |             | a2 h1
      9500  | ask 3 again      |             | a3 h1
      9600  | ask 4 again      |             | a4 no -1
      18900 | ask 5 again      |             | a5 no -1
      19300 | ask 6 again      |             | a6 h1
      19400 | ask 7 again      |             | a7 no -1
      """
