Feature: The loss of a zone with all its machines is tolerated
  One column per machine, time in ms downwards. Timeline.java defines the words of a cell; a/y is machine a in zone y.

  Scenario: two members in one zone acknowledge nothing until a machine of another zone joins
    Given a core of "a/y, b/y, c/z" at rest, of which one zone may be lost
    And a spare machine "d/z" that is told of "a, b, c"
    When this happens
      """
              a            b            c            d
      0       +x           .            XX           .
      50      no:x         .            .            .
      <1000   L2           M2           .            .
      2000    no:x         .            .            .
      2100    +y           .            .            ^
      <3500   L3,ok:y      M3,=y        .            M3,=y
      3600    W            W            .            .
      4000    .            .            .            =y
      """

  Scenario: a leaving member that is the last of its zone stays until a machine of a third zone joins
    Given a core of "a/y, b/y, c/z" at rest, of which one zone may be lost
    And a spare machine "d/x" that is told of "a, b, c"
    When this happens
      """
              a            b            c            d
      0       .            .            bye          .
      1000    L3,V1,+x     M3,V1        stays,V1     .
      <1050   ok:x         .            .            .
      1500    .            .            .            ^
      <2500   L3           M3           left         M3,=x
      """
    Then all that are up agree and have all that was acknowledged

  Scenario: a slow member is not excluded if all others are in one zone
    Given a core of "a/y, b/y, c/z" at rest, of which one zone may be lost
    When this happens
      """
              a            b            c
      0       +x           .            hung2000
      1500    L,no:x       .            .
      <3500   L3,ok:x      M3           M3
      """
