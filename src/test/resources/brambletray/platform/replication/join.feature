Feature: Newcomers and permanently lost machines
  One column per machine; time in ms runs downwards. Timeline.java explains the words in the cells.

  Scenario: a replacement joins although its outdated seeds name the lost machine
    Given a core of "a, b, c" at rest
    And a spare machine "d" that is told of "a, b, c"
    When this happens
      """
              a            b            c            d
      0       +x           .            .            .
      <40     ok:x         .            .            .
      50      .            .            W            .
      <1000   L2           M2           .            .
      1500    .            .            .            ^
      <2500   L3           M3           .            M3,=x
      """
    Then all that are up agree and have all that was acknowledged

  Scenario: a replacement joins while its predecessor is still a member and is its only seed
    Given a core of "a, b, c" at rest
    And a spare machine "d" that is told of "c"
    When this happens
      """
              a            b            c            d
      0       .            .            .            ^
      <1500   L4           M4           M4           M4
      1600    .            .            XX           .
      <2700   L3           M3           .            M3
      5000    .            .            ^            .
      <6500   L4           M4           M4           M4
      """

  Scenario: five machines found a group with only three seeds
    Given a core of "a, b, c, d, e" at rest
    When this happens
      """
              a            b            c            d            e
      0       XX           XX           .            .            .
      <1600   .            .            L3           M3           M3
      2000    .            .            +x           .            .
      <2100   .            .            ok:x         =x           =x
      3000    ^            ^            .            .            .
      <4600   M5           M5           L5           M5           M5
      """

  Scenario: machines are lost and replaced one after the other
    Given a core of "a, b, c" at rest
    And a spare machine "d" that is told of "a, b, c"
    And a spare machine "e" that is told of "b, c"
    And a spare machine "f" that is told of "c"
    When this happens
      """
              a            b            c            d            e            f
      0       +x           .            .            .            .            .
      100     W            .            .            ^            .            .
      <2500   .            M3           M3           M3,=x        .            .
      7000    .            W            .            .            ^            .
      <9500   .            .            M3           M3           M3,=x        .
      14000   .            .            XX           .            .            ^
      18000   .            .            ^            .            .            .
      <19600  .            .            M4           M4           M4           M4,=x
      """
    Then all that are up agree and have all that was acknowledged

  Scenario: a wiped machine whose other seeds are down is contacted by the current members
    Given a core of "a, b, c" at rest
    And a spare machine "d" that is told of "a, b, c"
    And a spare machine "e" that is told of "a, b, c"
    When this happens
      """
              a            b            c            d            e
      0       W            .            .            ^            ^
      <2500   .            M4           M4           M4           M4
      5000    .            W            .            .            .
      <7500   .            .            M3           M3           M3
      8000    .            .            W            .            .
      <10000  .            .            .            M2           M2
      10100   .            .            ^            .            .
      <12500  .            .            M3           M3           M3
      """

  Scenario: a wiped founder never founds a group again
    Given a core of "a, b, c" at rest
    When this happens
      """
              a            b            c
      0       W            W            XX
      500     ^            ^            .
      4000    K            K            .
      4100    .            .            ^
      9000    K            K            S
      """

  Scenario: a machine that restarts repeatedly is admitted again after a longer delay
    Given a core of "a, b, c" at rest
    When this happens
      """
              a            b            c
      0       .            .            X
      1000    .            .            ^
      <2500   L3           M3           M3
      2600    .            .            X
      3600    .            .            ^
      <5000   L3           M3           M3
      5100    .            .            X
      6100    .            .            ^
      <8000   L3           M3           M3
      """

  Scenario: one member continues alone once the other's disk is proven lost, and acknowledges nothing until another joins
    Given a core of "a, b, c" at rest
    When this happens
      """
              a            b            c
      0       .            .            XX
      <1000   L2           M2           .
      1000    +x           .            .
      <1100   ok:x         =x           .
      1200    W            .            .
      1500    ^,X>IdentityResponse     .            .
      <2600   .            L1           .
      2700    .            +y           .
      4000    .            L1,no:y      .
      4100    ^            .            .
      <5000   M2,=x,=y     L2,ok:y      .
      """
    Then all that are up agree and have all that was acknowledged

  Scenario: a view that only some members installed does not bypass the quorum of its predecessor
    Given a core of "a, b, c" at rest
    And a spare machine "d" that is told of "a"
    When this happens
      """
              a            b            c            d
      0       .            ~>a@InstallViewResponse X           ^,~>a@InstallViewResponse
      850     ~b,~d        .            .            .
      900     .            .            ^,~b,~d      .
      <4000   L2           S3           M2           S3
      4000    +y           +z           .            .
      <4100   ok:y         no:z         =y           .
      8000    L2           S3,no:z,!z   M2           S3,!z
      8100    -            -            -            -
      <11000  M4,=y        M4,=y        M4,=y        M4,=y
      """
    Then all that are up agree and have all that was acknowledged
