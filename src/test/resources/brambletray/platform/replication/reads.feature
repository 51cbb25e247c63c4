Feature: Reads are confirmed by a majority
  One column per machine, time in ms downwards. Timeline.java defines the words of a cell.
  The first machine of an idle cluster is the leader.

  Background:
    Given a core of "a, b, c" at rest

  Scenario: with one silent member the leader and the other member confirm reads without delay
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

  Scenario: a leader frozen while the others change the view does not confirm a pending read from its old state
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
