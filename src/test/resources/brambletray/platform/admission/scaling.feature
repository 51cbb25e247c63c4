Feature: Instances of a service and takeovers of its home

  Scenario: A draining instance that carried load is replaced at once, and stopped when it is empty
    Given a service with 128 MB, concurrency 1, boot time 500 ms and target 1000 ms
    Then the timeline is
      """
      ms  | a                   | instances  | coordinator     | home
      0   |                     |            | instances h1 up |
      10  | request 1           |            |                 | a1 h1
      20  |                     |            | draining h1     | start
      25  |                     |            | started h2      |
      30  | request 2           |            |                 |
      60  | release 1 served 50 |            |                 |
      61  |                     |            |                 | stop h1
      65  |                     |            | gone h1         |
      500 |                     | h2 answers |                 |
      560 |                     |            |                 | a2 h2
      """

  Scenario: An instance that is unreachable twice in a row is dropped, and another one started
    Given a service with 128 MB, concurrency 1, boot time 500 ms and target 1000 ms
    Then the timeline is
      """
      ms | a                     | instances  | coordinator     | home
      0  |                       | h1 answers | instances h1 up |
      10 | request 1             |            |                 | a1 h1
      50 | release 1 served 40   |            |                 |
      60 |                       | h1 silent  |                 |
      70 | request 2             |            |                 | a2 h1
      72 | release 2 unreached 2 |            |                 |
      80 | request 3             |            |                 | stop h1; start
      """

  Scenario: An unreachable instance is used again after a successful probe
    Given a service with 128 MB, concurrency 1, boot time 500 ms and target 1000 ms
    Then the timeline is
      """
      ms | a                     | instances  | coordinator     | home
      0  |                       | h1 answers | instances h1 up |
      10 | request 1             |            |                 | a1 h1
      12 | release 1 unreached 2 |            |                 |
      20 | request 2             |            |                 | a2 h1
      """

  Scenario: A refused start is repeated after the retry time
    Given a service with 128 MB, concurrency 1, boot time 500 ms and target 1000 ms
    Then the timeline is
      """
      ms  | a         | instances | coordinator | home
      0   |           |           | instances   |
      10  | request 1 |           |             | start
      20  |           |           | refused 200 |
      30  | request 2 |           |             |
      230 |           |           |             | start
      """

  Scenario: A service that boots slower than its target keeps one instance from the start
    Given a service with 512 MB, concurrency 4, boot time 1400 ms and target 300 ms
    Then the timeline is
      """
      ms     | a                   | instances  | coordinator | home
      0      |                     |            | instances   | start
      10     |                     |            | started h1  |
      1400   |                     | h1 answers |             |
      90000  | request 1           |            |             | a1 h1
      90050  | release 1 served 50 |            |             |
      180000 | request 2           |            |             | a2 h1
      """

  Scenario: An idle instance of any other service is stopped when keeping it costs more than a start
    Given a service with 128 MB, concurrency 1, boot time 500 ms and target 1000 ms
    Then the timeline is
      """
      ms   | a                   | instances  | coordinator | home
      0    |                     |            | instances   |
      10   | request 1           |            |             | start
      20   |                     |            | started h1  |
      500  |                     | h1 answers |             |
      600  |                     |            |             | a1 h1
      660  | release 1 served 50 |            |             |
      3800 |                     |            |             |
      3900 |                     |            |             | stop h1
      3910 |                     |            | gone h1     |
      """

  Scenario: After a home fails, the next one grants no slots at an instance before the edges have reported theirs
    Given a service with 128 MB, concurrency 1, boot time 500 ms and target 1000 ms
    Then the timeline is
      """
      ms  | a                   | b         | coordinator           | home1 | home2
      0   |                     |           | instances h1 up h2 up |       |
      10  | request 1           |           |                       | a1 h1 |
      20  |                     | request 1 |                       | b1 h2 |
      30  |                     | request 2 |                       |       |
      100 |                     |           |                       | fails |
      105 |                     | request 2 |                       |       |
      110 |                     |           | instances h1 up h2 up |       |
      120 | held 1 h1           |           |                       |       |
      150 |                     | held 1 h2 |                       |       |
      200 | release 1 served 90 |           |                       |       | b2 h1
      """

  Scenario: A new home waits at most 400 ms for the reports of edges, and 300 ms for the instance list
    Given a service with 128 MB, concurrency 1, boot time 500 ms and target 1000 ms
    Then the timeline is
      """
      ms  | a                | b      | coordinator     | home1 | home2
      0   |                  |        | instances h1 up |       |
      100 |                  |        |                 | fails |
      105 | held ; request 1 | silent |                 |       |
      120 |                  |        | instances h1 up |       |
      499 |                  |        |                 |       |
      501 |                  |        |                 |       | a1 h1
      """

  Scenario: A new home that gets no instance list takes the instances from the reports of edges
    Given a service with 128 MB, concurrency 1, boot time 500 ms and target 1000 ms
    Then the timeline is
      """
      ms  | a                   | b         | coordinator     | home1 | home2
      0   |                     |           | instances h1 up |       |
      50  | request 1           |           |                 | a1 h1 |
      100 |                     |           |                 | fails |
      105 | held 1 h1           | held      |                 |       |
      200 |                     | request 1 |                 |       |
      399 |                     |           |                 |       |
      400 | release 1 served 90 |           |                 |       | b1 h1
      """

  Scenario: Requests are redirected to a zone whose demand justifies instances, and served by the root while none is up
    Given a service with 128 MB, concurrency 8, boot time 500 ms and target 1000 ms
    And a zone justifies its own instances from 2 requests per second
    Then the timeline is
      """
      ms   | w                   | coordinator     | home
      0    |                     | instances h1 up |
      10   | request 1 zone west |                 | w1 h1
      300  | request 2 zone west |                 | w2 h1
      600  | request 3 zone west |                 | w3 h1
      900  | request 4 zone west |                 | w4 h1
      1200 | request 5 zone west |                 | w5 h1
      1500 | request 6 zone west |                 | w6 h1
      1800 | request 7 zone west |                 | w7 redirect west
      1806 | request 7 zone west |                 | w7 h1
      2100 | request 8 zone west |                 | w8 h1
      2600 | request 9 zone west |                 | w9 redirect west
      """

  Scenario: A zone's own queue redirects requests to the root zone until its first instance is up
    Given a service with 128 MB, concurrency 8, boot time 500 ms and target 1000 ms
    And the root zone is west
    Then the timeline is
      """
      ms  | a         | instances  | coordinator | home
      0   |           |            | instances   |
      10  | request 1 |            |             | start; a1 redirect west
      20  |           |            | started h1  |
      300 | request 2 |            |             | a2 redirect west
      500 |           | h1 answers |             |
      600 | request 3 |            |             | a3 h1
      """

  Scenario: 105 services with one slot per instance start within a second
    Given a service with 128 MB, concurrency 1, boot time 900 ms and target 1500 ms
    And 105 such services in 1 zone
    When each of them receives 3 requests within a second, with 60 ms of work each
    Then all are served, 88 percent of them in time, with 125 starts at most
