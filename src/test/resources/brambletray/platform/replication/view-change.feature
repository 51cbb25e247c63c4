Feature: Changes of view
  One column a machine, time in ms downwards. The words of a cell are told in Picture.java.

  Background:
    Given a core of "a, b, c" at rest

  Scenario Outline: the leader of a change dies as it is about to say, or has just said, or has just heard <step>
    When this happens
      """
              a            b            c
      0       +x           .            .
      <40     ok:x         .            .
      50      XX           <how><step>  .
      1800    ^            .            .
      <2900   M2,=x        .            M2,=x
      2950    +y           .            .
      <3050   ok:y         .            =y
      3100    .            ^            .
      <4600   M3,=y        M3,=y        M3,=y
      """
    Then all that are up agree and have all that was acknowledged

    Examples:
      | how | step      |
      | XX@ | PrepareRequest      |
      | XX> | PrepareRequest      |
      | XX< | PrepareResponse      |
      | XX@ | InstallViewRequest   |

  Scenario Outline: the leader of a change dies when another has kept the new view: it may be in force, so both are waited for (<how> <step>)
    When this happens
      """
              a            b            c
      0       +x           .            .
      <40     ok:x         .            .
      50      XX           <how><step>  .
      1800    ^            .            .
      3500    S            .            S,+y
      3600    .            ^            .
      <4900   M3,=x,=y     M3,=x,=y     M3,=x,ok:y
      """
    Then all that are up agree and have all that was acknowledged

    Examples:
      | how | step      |
      | XX> | InstallViewRequest   |
      | XX< | InstallViewResponse |
      | XX@ | HeartbeatRequest      |

  Scenario Outline: the other one of a change of two dies as it is about to say, or has just said, <step>
    When this happens
      """
              a            b            c
      0       +x           .            .
      <40     ok:x         .            .
      50      XX           .            <how><step>
      1800    ^            .            .
      <3000   M2,=x        M2,=x        .
      3100    .            .            ^
      <4600   M3,=x        M3,=x        M3,=x
      """
    Then all that are up agree and have all that was acknowledged

    Examples:
      | how | step      |
      | XX@ | PrepareResponse      |
      | XX> | PrepareResponse      |
      | XX< | InstallViewRequest   |
      | XX@ | InstallViewResponse |

  Scenario: a dead member is out within a second, and in again within a second and a half
    When this happens
      """
              a            b            c
      0       .            .            X
      <950    L2           M2           .
      3000    .            .            ^
      <4500   L3           M3           M3
      """

  Scenario: a process that is back at once stays in; a dead leader is followed soon
    When this happens
      """
              a            b            c
      0       .            .            X
      200     .            .            ^
      900     L3           M3           M3
      1000    X            .            .
      <2200   .            L2           M2
      2300    ^            .            .
      <3800   M3           L3           M3
      """

  Scenario: one that was wiped answers under its old name and counts for nothing
    When this happens
      """
              a            b            c
      0       .            .            XX
      <1000   L2           M2           .
      1000    +x           .            .
      <1100   ok:x         .            .
      1200    W            XX           .
      1400    ^            .            .
      4000    K,!x         .            .
      4100    .            ^            .
      <6000   M2,=x        L2,=x        .
      6100    .            .            ^
      <7700   M3           L3           M3,=x
      """
    Then all that are up agree and have all that was acknowledged

  Scenario: cut off, believing in the old view, it can't acknowledge anything
    When this happens
      """
              a            b            c
      0       ~            .            .
      10      +x           .            .
      <1500   no:x         L2           M2
      1500    +z           +y           .
      <1600   no:z         ok:y,!x      =y,!x
      2400    -            .            .
      <4000   M3,=y,!x     M3           M3
      """
    Then all that are up agree and have all that was acknowledged

  Scenario: the leader hears nobody but is heard
    When this happens
      """
              a            b            c
      0       .            ~>a          ~>a
      <1900   S            L2           M2
      2000    .            -            -
      <3700   M3           L3           M3
      """

  Scenario: a member hears nobody but is heard; it disturbs nothing
    When this happens
      """
              a            b            c
      0       ~>c          ~>c          .
      <1100   L2           M2           .
      1200    +x           .            .
      <1300   ok:x         =x           .
      3000    -            -            .
      <4600   L3           M3           M3,=x
      """

  Scenario: the link between the leader and one member is cut; the other doesn't follow suit
    When this happens
      """
              a            b            c
      0       ~c           .            .
      <1200   L2           M2           .
      4000    L2           M2           .
      4100    -            .            .
      <5700   L3           M3           M3
      """

  Scenario: a full disk in the middle: out with it, and in again when it is well
    When this happens
      """
              a            b            c
      0       .            full         .
      100     +x           .            .
      <1300   ok:x,L2      .            =x,M2
      3000    .            well         .
      <4500   L3           =x,M3        M3
      """
    Then all that are up agree and have all that was acknowledged

  Scenario: the leader's own disk hangs for seconds
    When this happens
      """
              a            b            c
      0       hung5000     .            .
      10      +x           .            .
      50      .            +y           .
      <2200   .            ok:y,L2      =y,M2
      <7000   M3,=y        M3           M3
      """
    Then all that are up agree and have all that was acknowledged

  Scenario: a disk 25 times slower holds up for a while and nobody is thrown out
    When this happens
      """
              a            b            c
      0       .            slow125      .
      100     +x           .            .
      <300    ok:x         .            .
      3000    L3           M3           M3
      """

  Scenario: who has slept suspects nobody
    When this happens
      """
              a            b            c
      0       z600         z600         .
      2000    L3           M3           M3
      2100    .            z500         .
      3500    L3           M3           M3
      """

  Scenario: two of three have slept for longer than suspicion takes; no view is changed
    When this happens
      """
              a            b            c
      0       z1500        z1500        .
      1600    L3           M3           .
      2600    L3,V1        M3,V1        M3,V1
      """

  Scenario: nothing is acknowledged while one of the view hasn't it on disk
    When this happens
      """
              a            b            c
      0       .            .            hung4000
      10      +x           .            .
      500     no:x,L3      .            .
      <1300   ok:x,L2      =x           .
      5000    M3           M3           M3,=x
      """
    Then all that are up agree and have all that was acknowledged

  Scenario: the leader sleeps for seconds, wakes in an old view and can't acknowledge
    When this happens
      """
              a            b            c
      0       +x,z3000     .            .
      <1500   .            L2           M2
      2000    .            +y           .
      <2100   .            ok:y         =y
      3001    +z           .            .
      <4600   =y,=z,M3     =z           =z
      """
    Then all that are up agree and have all that was acknowledged

  Scenario: all are killed and back within a second; it goes on within another
    When this happens
      """
              a            b            c
      0       +x           .            .
      <40     ok:x         .            .
      50      X            X            X
      600     .            ^            .
      800     .            .            ^
      950     ^            .            .
      <1900   =x           =x           =x
      <2200   M3           M3           M3
      """

  Scenario: all are killed again and again
    When this happens
      """
              a            b            c
      0       X            X            X
      300     ^            ^            ^
      420     X            X            X
      600     ^            ^            ^
      800     X            X            X
      1000    ^            ^            ^
      <2200   M3           M3           M3
      """

  Scenario: a planned end holds nothing up, whoever it is
    When this happens
      """
              a            b            c
      0       bye          .            .
      <100    .            L2           M2
      110     .            +x           .
      <150    .            ok:x         =x
      300     X            .            .
      1000    ^            .            .
      <2000   M3           L3           M3
      2100    bye          .            .
      <2200   .            L2           M2
      2300    X            .            .
      """
    Then all that are up agree and have all that was acknowledged
