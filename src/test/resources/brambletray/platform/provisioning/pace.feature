Feature: The platform's rates are kept, and found where they are lower than was said

  Scenario: A burst goes through at the rate, the urgent first, with hardly a refusal
    Given a platform that accepts 20 starts and stops a second
    And workers w-1 w-2 of 9000 MB in zone north of region upper
    And a service tea of 100 MB that starts in 500 ms
    When this is played
      """
         ms | north               | hub      | platform
          0 |                     | wins     |
       1000 | many n- 60          |          |
       1100 | urges now           |          |
       1200 | waits n-59          |          |
       1300 | got now, waits n-59 |          |
       4600 | holds 61            | knows 61 | started 61, refused most 2
      """

  Scenario: The platform accepts half of what it says
    Given a platform that accepts 10 starts and stops a second and says 20
    And workers w-1 w-2 of 9000 MB in zone north of region upper
    And a service tea of 100 MB that starts in 500 ms
    When this is played
      """
         ms | north               | hub      | platform
          0 |                     | wins     |
       1000 | many n- 40          |          |
       7000 | holds 40            | knows 40 | started 40, refused most 6
      """

  Scenario: While the platform is silent, few calls are made in vain
    Given a platform that accepts 100 starts and stops a second
    And workers w-1 w-2 of 9000 MB in zone north of region upper
    And a service tea of 100 MB that starts in 500 ms
    When this is played
      """
         ms | north               | hub      | platform
          0 |                     | wins     |
       1000 | many n- 60          |          | ~away
       9000 | waits n-59          |          | started 0, called most 90, back
      13000 | holds 60            | knows 60 | started 60
      """

  Scenario: Stops are not held up by starts without end
    Given a platform that accepts 10 starts and stops a second
    And workers w-1 w-2 of 9000 MB in zone north of region upper
    And a service tea of 100 MB that starts in 500 ms
    When this is played
      """
         ms | north               | hub      | platform
          0 |                     | wins     |
        100 | needs first         |          |
       3000 | got first, many n- 60 |        |
       3100 | quits first         |          |
       4500 | lost first, waits n-59 |       |
      """
