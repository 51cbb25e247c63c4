Feature: The hub goes, another comes

  As in edges.feature. The hub's column: X and then | is another member that has won the duty, with the next term and nothing in its books.

  Scenario: A new hub throws out none of the living
    Given edges a1 to c4, by zones
    When time passes
      """
        ms  hub  rest
         0   |    |
      3000   X    |   : in all
      4000   .    |
      5000   |    |
      5200   |    |   : in all
     12000   |    |   : in all; calm
      """
    Then all that run have the same roster

  Scenario: Who died while there was no hub is held for a while, then out
    Given edges a1 to c4, by zones
    When time passes
      """
        ms  hub  a1  b1  rest
         0   |    |   |    |
      3000   X    |   |    |   : in all
      3500   .    !   X    |
      5000   |    .   .    |
      5300   |    .   .    |   : out a1 b1
     12000   |    .   .    |   : out a1 b1; calm
      """
    Then all that run have the same roster

  Scenario: One that cannot call the new hub yet is held, and not thrown out before it has had time
    Given edges a1 to c4, by zones
    When time passes
      """
        ms  hub  a1  rest
         0   |    |    |
      3000   X    ~    |   : in all
      3300   |    ~    |
      3600   |    ~    |   : in all
      3650   |    |    |   : in all
      9000   |    |    |   : in all
      """
    Then all that run have the same roster

  Scenario: The first to reach a new hub is one that knows nobody; it does not get the others thrown out
    Given edges a1 to c4, by zones
    When time passes
      """
        ms  hub  a1  rest
         0   |    |    |
      3000   X    X    |   : in all
      3200   .    .    ~
      3300   |    |    ~
      3500   |    |    |   : silent
      3700   |    |    |   : in all
      9000   |    |    |   : in all
      """
    Then all that run have the same roster

  Scenario: Suspicions from before the new hub are told to it
    Given edges a1 to c4, by zones
    When time passes
      """
        ms  hub  a1  rest
         0   |    |    |
      3000   X    z    |   : in all
      5000   |    z    |
      5300   |    z    |   : out a1
      9000   |    z    |   : out a1; calm
      """

  Scenario: A hub that slept takes for gone nobody whose call lies unread
    Given edges a1 to a1, by zones
    When time passes
      """
        ms  hub  a1
         0   |    |
      3000   |    X    : in all
      3300   z    .
      3500   z    |
      6000   |    |
      9000   |    |    : in all
      """
    Then no more than 2 rosters were said

  Scenario: A hub that slept takes nobody's old word
    Given edges a1 to c4, by zones
    When time passes
      """
        ms  hub  a1  rest
         0   |    |    |
      3000   z    z    |   : in all
      5000   z    |    |
      7000   |    |    |   : in all
      7100   |    |    |
     12000   |    |    |   : in all
      """
