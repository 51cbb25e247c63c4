Feature: Hosts of a service, and the home that moves

  Scenario: A leaving host carried load: its replacement is asked for at once, and it ends when it is empty
    Given a service of 128 MB, 1 at once, 500 ms to start, its target 1000 ms
    Then it goes
      """
      ms    | a                | hosts      | hub         | home
      0     |                  |            | hosts h1 up |
      10    | ask 1            |            |             | a1 h1
      20    |                  |            | leaving h1  | need
      25    |                  |            | born h2     |
      30    | ask 2            |            |             |
      60    | done 1 served 50 |            |             |
      61    |                  |            |             | quit h1
      65    |                  |            | gone h1     |
      500   |                  | h2 answers |             |
      560   |                  |            |             | a2 h2
      """

  Scenario: A host that two tries in a row don't reach is given up, and another started
    Given a service of 128 MB, 1 at once, 500 ms to start, its target 1000 ms
    Then it goes
      """
      ms    | a                  | hosts      | hub         | home
      0     |                    | h1 answers | hosts h1 up |
      10    | ask 1              |            |             | a1 h1
      50    | done 1 served 40   |            |             |
      60    |                    | h1 silent  |             |
      70    | ask 2              |            |             | a2 h1
      72    | done 2 unreached 2 |            |             |
      80    | ask 3              |            |             | quit h1; need
      """

  Scenario: A host that a try didn't reach but that answers a knock is used again
    Given a service of 128 MB, 1 at once, 500 ms to start, its target 1000 ms
    Then it goes
      """
      ms    | a                  | hosts      | hub         | home
      0     |                    | h1 answers | hosts h1 up |
      10    | ask 1              |            |             | a1 h1
      12    | done 1 unreached 2 |            |             |
      20    | ask 2              |            |             | a2 h1
      """

  Scenario: The platform has no room, and then has
    Given a service of 128 MB, 1 at once, 500 ms to start, its target 1000 ms
    Then it goes
      """
      ms    | a                  | hosts      | hub         | home
      0     |                    |            | hosts       |
      10    | ask 1              |            |             | need
      20    |                    |            | noroom 200  |
      30    | ask 2              |            |             |
      230   |                    |            |             | need
      """

  Scenario: A service whose start can't be hidden keeps one host, from its configuration on
    Given a service of 512 MB, 4 at once, 1400 ms to start, its target 300 ms
    Then it goes
      """
      ms     | a                  | hosts      | hub         | home
      0      |                    |            | hosts       | need
      10     |                    |            | born h1     |
      1400   |                    | h1 answers |             |
      90000  | ask 1              |            |             | a1 h1
      90050  | done 1 served 50   |            |             |
      180000 | ask 2              |            |             | a2 h1
      """

  Scenario: An idle host of any other service ends when keeping it costs more than a start
    Given a service of 128 MB, 1 at once, 500 ms to start, its target 1000 ms
    Then it goes
      """
      ms     | a                  | hosts      | hub         | home
      0      |                    |            | hosts       |
      10     | ask 1              |            |             | need
      20     |                    |            | born h1     |
      500    |                    | h1 answers |             |
      600    |                    |            |             | a1 h1
      660    | done 1 served 50   |            |             |
      3800   |                    |            |             |
      3900   |                    |            |             | quit h1
      3910   |                    |            | gone h1     |
      """

  Scenario: A home dies with places out: the next one gives out nothing at hosts of whose holders it can't know
    Given a service of 128 MB, 1 at once, 500 ms to start, its target 1000 ms
    Then it goes
      """
      ms    | a                | b                | hub               | home1    | home2
      0     |                  |                  | hosts h1 up h2 up |          |
      10    | ask 1            |                  |                   | a1 h1    |
      20    |                  | ask 1            |                   | b1 h2    |
      30    |                  | ask 2            |                   |          |
      100   |                  |                  |                   | X        |
      105   |                  | ask 2            |                   |          |
      110   |                  |                  | hosts h1 up h2 up |          |
      120   | held 1 h1        |                  |                   |          |
      150   |                  | held 1 h2        |                   |          |
      200   | done 1 served 90 |                  |                   |          | b2 h1
      """

  Scenario: An edge that tells nothing holds the new home up for 400 ms, the hub for 300
    Given a service of 128 MB, 1 at once, 500 ms to start, its target 1000 ms
    Then it goes
      """
      ms    | a                | b                | hub               | home1    | home2
      0     |                  |                  | hosts h1 up       |          |
      100   |                  |                  |                   | X        |
      105   | held ; ask 1     | z                |                   |          |
      120   |                  |                  | hosts h1 up       |          |
      499   |                  |                  |                   |          |
      501   |                  |                  |                   |          | a1 h1
      """

  Scenario: The hub is away when a home dies: the next one knows the hosts from those who hold places there
    Given a service of 128 MB, 1 at once, 500 ms to start, its target 1000 ms
    Then it goes
      """
      ms    | a                | b                | hub         | home1    | home2
      0     |                  |                  | hosts h1 up |          |
      50    | ask 1            |                  |             | a1 h1    |
      100   |                  |                  |             | X        |
      105   | held 1 h1        | held             |             |          |
      200   |                  | ask 1            |             |          |
      399   |                  |                  |             |          |
      400   | done 1 served 90 |                  |             |          | b1 h1
      """

  Scenario: A zone's demand pays for hosts of its own: its asks are sent there, and come back while none is up
    Given a service of 128 MB, 8 at once, 500 ms to start, its target 1000 ms
    And a zone pays for a seat of its own from 2 requests a second on
    Then it goes
      """
      ms    | w                  | hub         | home
      0     |                    | hosts h1 up |
      10    | ask 1 zone west    |             | w1 h1
      300   | ask 2 zone west    |             | w2 h1
      600   | ask 3 zone west    |             | w3 h1
      900   | ask 4 zone west    |             | w4 h1
      1200  | ask 5 zone west    |             | w5 h1
      1500  | ask 6 zone west    |             | w6 h1
      1800  | ask 7 zone west    |             | w7 to west
      1806  | ask 7 zone west    |             | w7 h1
      2100  | ask 8 zone west    |             | w8 h1
      2600  | ask 9 zone west    |             | w9 to west
      """

  Scenario: A zone's own seat sends back what comes before its first host is up
    Given a service of 128 MB, 8 at once, 500 ms to start, its target 1000 ms
    And its root seat is in zone west
    Then it goes
      """
      ms    | a                  | hosts      | hub         | home
      0     |                    |            | hosts       |
      10    | ask 1              |            |             | need; a1 to west
      20    |                    |            | born h1     |
      300   | ask 2              |            |             | a2 to west
      500   |                    | h1 answers |             |
      600   | ask 3              |            |             | a3 h1
      """

  Scenario: 105 services with one place a host wake within a second
    Given a service of 128 MB, 1 at once, 900 ms to start, its target 1500 ms
    And a town of 105 services like it in 1 zone
    When each of them is called 3 times within a second, 60 ms of work each
    Then all are served, 88 in a hundred of them in time, by 125 starts at most
