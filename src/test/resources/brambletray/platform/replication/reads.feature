Feature: Who reads or refuses asks first, and a majority is enough
  One column a machine, time in ms downwards. The words of a cell are told in Picture.java.
  The first machine of a core at rest leads.

  Background:
    Given a core of "a, b, c" at rest

  Scenario: one member is silent; the leader and the other read on at once
    When this happens
      """
              a            b            c
      0       .            .            X
      10      ?            .            .
      <60     ?ok          .            .
      70      .            ?            .
      <120    .            ?ok          .
      <1500   L2           M2           .
      """
    Then all that are up agree and have all that was acknowledged

  Scenario: the leader is frozen while the others go on; what it was asked before it slept isn't answered by what it knew
    When this happens
      """
              a            b            c
      0       z3000        .            .
      <1500   .            L2           M2
      1500    .            +y           .
      <1600   .            ok:y         =y
      2990    ?            .            .
      <5500   M3,=y        L3           M3
      """
    Then all that are up agree and have all that was acknowledged
