Feature: The yard starts and stops hosts, and tells homes what becomes of them

  One column a process, time downwards in ms. In the column of the platform "~mute" does as it is told while no answer arrives, "~away"
  hears nothing; X dies. A check stands at the moment at which it must hold; a host goes by the nonce that it was started with.

  Background:
    Given a platform that accepts 100 starts and stops a second
    And workers w-1 w-2 of 1000 MB in zone north of region upper
    And workers w-3 of 1000 MB in zone south of region upper
    And workers w-4 of 1000 MB in zone far of region lower
    And a service tea of 400 MB that starts in 500 ms
    And a service cup of 400 MB that starts in 500 ms

  Scenario: Hosts go where the demand is, spread over workers, then to the nearest zone, then nowhere
    When this is played
      """
         ms | north                     | hub     | platform
          0 |                           | wins    |
        100 | needs n-1                 |         |
        200 | needs n-2                 |         |
        300 | needs n-3                 |         |
        400 | needs n-4                 |         |
        500 | needs n-5                 |         |
        600 | needs n-6                 |         |
        800 | has n-1 n-2 n-3 n-4 n-5 n-6 |       | started 6
        800 | on n-1 w-1, on n-2 w-2, on n-3 w-1, on n-4 w-2, on n-5 w-3, on n-6 w-3 | |
        900 | needs n-7 n-8             |         |
       1000 | on n-7 w-4, on n-8 w-4    |         |
       1100 | needs n-9                 |         |
       1200 | refused n-9               | knows 8 | called most 8
      """

  Scenario: A start without an answer, repeated by a successor, is one host
    When this is played
      """
         ms | north      | hub     | platform
          0 |            | wins    |
        500 |            |         | ~mute
        600 | needs n-1  |         |
        700 | waits n-1  | X       | runs 1
        900 |            | wins    |
       1000 |            |         | back
       4000 | has n-1    | knows 1 | started 1
       9000 | has n-1    | knows 1 | runs 1
      """

  Scenario: A start without an answer is repeated until it is answered
    When this is played
      """
         ms | north      | hub     | platform
          0 |            | wins    |
        500 |            |         | ~mute
        600 | needs n-1  |         |
       4000 | waits n-1  |         | started 1, called most 4, back
       6500 | has n-1    | knows 1 | runs 1
      """

  Scenario: A worker without room, whatever its list says: the same nonce goes to the next
    When this is played
      """
         ms | north               | hub  | platform
          0 |                     | wins |
       1000 |                     |      | fills w-1 100
       1050 | needs n-1 n-2       |      |
       1200 | has n-1 n-2         |      | started 3, called most 3
       1200 | on n-1 w-2, on n-2 w-2 |   |
       1300 | needs n-3           |      |
       1400 | on n-3 w-3          |      | called most 4
      """

  Scenario: The platform is away twice for five seconds: what is known is served on
    When this is played
      """
         ms | north           | hub     | platform
          0 |                 | wins    |
        100 | needs n-1       |         |
       2000 |                 |         | ~away
       2100 | needs n-2       |         |
       7000 | has n-1, waits n-2 | knows 1 | started 1, back
       9500 | has n-1 n-2     |         | started 2
      10000 |                 |         | ~away
      10100 | quits n-1       |         |
      15000 | has n-1 n-2     |         | runs 2, back
      18000 | has n-2         | knows 1 | runs 1
      25000 | has n-2         | knows 1 | runs 1
      """

  Scenario: A worker drains: homes are told at once, nothing is placed there any more
    When this is played
      """
         ms | north           | hub     | platform
          0 |                 | wins    |
        100 | needs n-1       |         |
        200 | needs n-2       |         |
       3000 | on n-1 w-1      |         | drains w-1
       4950 | leaving n-1, staying n-2 | |
       5000 | needs n-3       |         |
       5100 | needs n-4       |         |
       5200 | on n-3 w-2, on n-4 w-3 |  | called most 4
      10000 | has n-2 n-3 n-4 | knows 3 |
      """

  Scenario: A worker crashes: its hosts are gone, before it is back and after
    When this is played
      """
         ms | north           | hub     | platform
          0 |                 | wins    |
        100 | needs n-1       |         |
        200 | needs n-2       |         |
       3000 |                 |         | crashes w-1 6000
       4500 | has n-2         | knows 1 |
       6100 | needs n-3       |         |
       6200 | on n-3 w-2      |         |
      12000 | needs n-4       |         |
      12100 | has n-2 n-3 n-4, on n-4 w-1 | | runs 3
      20000 | has n-2 n-3 n-4 | knows 3 |
      """

  Scenario: One host crashes: the list drops it, and so does its home
    When this is played
      """
         ms | north           | hub     | platform
          0 |                 | wins    |
        100 | needs n-1 n-2   |         |
       3000 |                 |         | ends n-1
       8500 | has n-2         | knows 1 |
      """

  Scenario: A host that nobody knows is adopted by the home of its zone; of a service that is gone, stopped
    When this is played
      """
         ms | north           | south         | hub       | platform
          0 |                 |               |           | begins w-3 lost
         50 | of cup          |               |           |
        100 |                 |               |           | begins w-3 lost-too
       1000 | of tea          |               | wins      |
       1010 |                 |               | drops cup |
       4000 | none            | has (adopted) | knows 1   | runs 1 tea, runs 0 cup
       9000 | none            | has (adopted) | knows 1   | runs 1 tea
      15000 | none            | none          | knows 0   | runs 0 tea
      """

  Scenario: What an edge tells late is not called unknown before the time is over
    When this is played
      """
         ms | north           | hub     | platform
          0 |                 | wins    |
        100 | needs n-1       |         |
       3000 |                 | X       |
       3100 | z               | wins    |
       3900 | .               | knows 0 |
       4000 | has n-1         | knows 1 | runs 1
      """

  Scenario: A host of a service that no configuration has any more is stopped
    When this is played
      """
         ms | north           | hub       | platform
          0 |                 | wins      |
        100 | of cup, needs n-1, of tea, needs n-2 | |
       3000 | has n-1 n-2     | drops cup |
      12000 | has n-1 n-2     |           | runs 1 cup
      14000 | has n-2         | knows 1   | runs 0 cup
      20000 | has n-2         | knows 1   | runs 1 tea
      """

  Scenario: An address is given to a host of another service
    When this is played
      """
         ms | north              | hub     | platform
          0 |                    | wins    |
        100 | needs n-1          |         |
       2000 | has n-1            |         | ends n-1
       4100 | of cup, needs n-2  |         |
       4200 | same n-1 n-2, has n-2 | knows 1 | runs 0 tea, runs 1 cup
      """

  Scenario: The hub changes in the middle of it all
    When this is played
      """
         ms | north           | south     | hub     | platform
          0 |                 |           | wins    |
        100 | needs n-1 n-2   | needs s-1 |         |
       2000 |                 |           | X       |
       2100 | needs n-3       |           |         |
       2200 | quits n-1       |           |         |
       2500 |                 |           | wins    |
       3500 | has n-2 n-3     | has s-1   | knows 3 | started 4, runs 3
      14000 | has n-2 n-3     | has s-1   | knows 3 | started 4, runs 3
      """

  Scenario: Hub and home die together: the next home is told by the list
    When this is played
      """
         ms | north      | south           | hub     | platform
          0 |            |                 | wins    |
        100 | needs n-1  | needs s-1       |         |
       2000 | X          |                 | X       |
       2300 |            |                 | wins    |
       2310 |            | takes north     |         |
       2340 |            | has s-1         | knows 1 |
       2450 |            | has s-1 (adopted) | knows 2 |
       5500 |            | has s-1 (adopted), empties 0 | knows 2 | runs 2
       9000 |            | has s-1 (adopted) | knows 2 | runs 2
      """

  Scenario: A home dies: the next one is told at once what the hub knows
    When this is played
      """
         ms | north      | south           | hub     | platform
          0 |            |                 | wins    |
        100 | needs n-1  | needs s-1       |         |
       2000 | X          |                 |         |
       2300 |            | takes north     |         |
       2310 |            | has n-1 s-1     | knows 2 |
      15000 |            | has n-1 s-1     | knows 2 | runs 2
      """

  Scenario: A home dies, and nobody wants its seat: its host is stopped
    When this is played
      """
         ms | north      | south           | hub     | platform
          0 |            |                 | wins    |
        100 | needs n-1  | needs s-1       |         |
       2000 | X          | heir north      |         |
       9000 |            | has s-1         | knows 2 | runs 2
      12000 |            | has s-1         | knows 1 | runs 1
      """

  Scenario: One home after the other takes its time to claim a seat
    When this is played
      """
         ms | north      | south           | far         | hub     | platform
          0 |            | .               | .           | wins    |
        100 | needs n-1  |                 |             |         |
       2000 | X          | heir north      |             |         |
       7000 |            | takes north     |             |         |
      12000 |            | got n-1         | heir north  |         |
      16000 |            |                 |             | knows 1 | runs 1
      18000 |            |                 | takes north |         |
      24000 |            |                 | got n-1     | knows 1 | runs 1
      """

  Scenario: A service that comes back into the configuration in time keeps its hosts
    When this is played
      """
         ms | north             | hub       | platform
          0 |                   | wins      |
        100 | of cup, needs n-1 |           |
       3000 |                   | drops cup |
      10000 |                   | adds cup  |
      22000 | has n-1           | drops cup | runs 1
      30000 | has n-1           |           | runs 1
      34000 | none              | knows 0   | runs 0
      """

  Scenario: A start that was unclear turns out to be on a worker that drains
    Given a service pot of 400 MB that starts in 6000 ms
    When this is played
      """
         ms | north             | hub     | platform
          0 |                   | wins    |
        500 | of pot            |         | ~mute
        600 | needs n-1         |         |
       1000 |                   |         | drains w-1, back
       4000 | leaving n-1       |         |
      """

  Scenario: A new hub is told of a host on a worker that it knows to drain
    Given a service pot of 400 MB that starts in 6000 ms
    When this is played
      """
         ms | north             | hub     | platform
          0 |                   | wins    |
        100 | of pot, needs n-1 |         |
       1000 | z                 | X       | drains w-1
       2000 |                   | wins    |
       2500 | ., tells          |         |
       2600 | leaving n-1       | knows 1 |
      """

  Scenario: An edge whose link was down is told what it missed
    When this is played
      """
         ms | north             | south       | hub     | platform
          0 |                   | .           | wins    |
        100 | needs n-1 n-2     | needs s-1   |         |
       2000 | deaf              |             |         | ebbs n-1
       3800 |                   | X           |         |
       3900 | heir south        |             |         |
       4000 | staying n-1       |             |         |
       4100 | hears, tells      |             |         |
       4200 | leaving n-1, staying n-2, got s-1 | |       |
      """

  Scenario: A host that was given back is not adopted while lists still show it
    When this is played
      """
         ms | north           | hub     | platform
          0 |                 | wins    |
        100 | needs n-1 n-2   |         |
       3000 | quits n-1       |         |
       3100 | has n-2         | knows 1 | runs 1
       9000 | has n-2         | knows 1 | runs 1
      16000 | has n-2         | knows 1 | runs 1
      """

  Scenario: Memory given back is used again before the list shows it
    When this is played
      """
         ms | north               | hub | platform
          0 |                     | wins |
        100 | needs a b c d e f g h |    |
       3000 | quits a             |      | runs 8
       3100 | needs i             |      |
       3200 | on i w-1            |      | runs 8
      """

  Scenario: A crash takes as few hosts of a service as can be, wherever the most memory is
    Given workers w-5 of 4000 MB in zone north of region upper
    When this is played
      """
         ms | north                  | hub  | platform
          0 |                        | wins |
        100 | needs n-1              |      |
        200 | needs n-2              |      |
        300 | needs n-3              |      |
        400 | needs n-4              |      |
        500 | on n-1 w-5, on n-2 w-1, on n-3 w-2, on n-4 w-5 | |
      """

  Scenario: One host is listed as draining
    When this is played
      """
         ms | north               | hub     | platform
          0 |                     | wins    |
        100 | needs n-1 n-2       |         |
       3000 |                     |         | ebbs n-1
       4700 | leaving n-1, staying n-2 |    |
       9000 | has n-2             | knows 1 | runs 1
      """

  Scenario: A host that still boots when its worker drains is told to leave, though no list shows it
    Given a service pot of 400 MB that starts in 6000 ms
    When this is played
      """
         ms | north               | hub     | platform
          0 |                     | wins    |
        100 | of pot, needs n-1   |         |
       1000 |                     |         | drains w-1
       3100 | leaving n-1         |         |
      """

  Scenario: A home sees its host before the list does
    When this is played
      """
         ms | north               | hub     | platform
          0 |                     | wins    |
       1560 | needs n-1           |         |
       3300 | has n-1             | knows 1 |
       6000 | has n-1             | knows 1 |
      """

  Scenario: A host that never starts is given up and stopped
    When this is played
      """
         ms | north               | hub     | platform
          0 |                     | wins    | slows tea 60000
        100 | needs n-1           |         |
       9900 | has n-1             | knows 1 | runs 1
      13000 | none                | knows 0 | runs 0
      """

  Scenario: A former home cannot stop a host, nor have its starts made
    Given a platform that accepts 2 starts and stops a second
    And workers w-1 w-2 of 9000 MB in zone north of region upper
    And a service tea of 400 MB that starts in 500 ms
    When this is played
      """
         ms | north           | south             | hub     | platform
          0 |                 | .                 | wins    |
        100 | many n- 5       |                   |         |
        300 | got n-0, waits n-4 | takes north    |         |
        400 | quits n-0       | got n-0           |         |
       6000 |                 | got n-0           | knows 1 | started 1, runs 1
      """

  Scenario: A home that came while there was no hub is told of its hosts by the former one's word
    When this is played
      """
         ms | north           | south             | hub     | platform
          0 |                 | .                 | wins    |
        100 | needs n-1       |                   |         |
       2000 |                 |                   | X       |
       2050 |                 | takes north       |         |
       2100 |                 |                   | wins    |
       2150 |                 | has n-1           | knows 1 |
      """

  Scenario: An answer that is lost on its way to the home is given again, without a call
    When this is played
      """
         ms | north             | hub     | platform
          0 |                   | wins    |
        100 | deaf, needs n-1   |         |
       2000 | hears, waits n-1  |         |
       2400 | has n-1           | knows 1 | started 1, called most 1
      """

  Scenario: An edge that was cut off is told which of its hosts have ended
    When this is played
      """
         ms | north             | hub     | platform
          0 |                   | wins    |
        100 | needs n-1 n-2     |         |
       3000 | deaf              |         | ends n-1
       9000 | hears, tells      | knows 1 |
       9100 | has n-2           | knows 1 |
      """

  Scenario: The home moves while its start is being called
    When this is played
      """
         ms | north           | south             | hub     | platform
          0 |                 | .                 | wins    |
        100 |                 |                   |         | ~mute
        150 | needs n-1       |                   |         |
        200 |                 | takes north       |         | back
       4000 |                 | has n-1           | knows 1 | started 1
      """

  Scenario: A host that is being stopped is no host of the next home
    When this is played
      """
         ms | north           | south             | hub     | platform
          0 |                 | .                 | wins    |
        100 | needs n-1 n-2   |                   |         |
       3000 |                 |                   |         | ~away
       3100 | quits n-1       |                   |         |
       3300 |                 | takes north       |         |
       3400 |                 | has n-2           |         | back
       9000 |                 | has n-2           | knows 1 | runs 1
      """
