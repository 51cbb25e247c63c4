Feature: Zones that may be lost with all their machines
  One column a machine, time in ms downwards. The words of a cell are told in Picture.java; a/y is the machine a in the zone y.

  Scenario: two in one zone acknowledge nothing before one of another zone is in
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

  Scenario: who is the last of its zone stays until another of another zone is in
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

  Scenario: a slow one isn't left out if the rest stands in one zone
    Given a core of "a/y, b/y, c/z" at rest, of which one zone may be lost
    When this happens
      """
              a            b            c
      0       +x           .            hung2000
      1500    L,no:x       .            .
      <3500   L3,ok:x      M3           M3
      """
