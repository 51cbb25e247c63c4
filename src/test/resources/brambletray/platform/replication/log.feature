Feature: What is acknowledged is kept
  One column a machine, time in ms downwards. The words of a cell are told in Picture.java.
  The first machine of a core at rest leads.

  Background:
    Given a core of "a, b, c" at rest

  Scenario: a change is acknowledged once all members have it on disk, and delivered everywhere
    When this happens
      """
              a            b            c
      0       +x           .            .
      <40     ok:x,=x      =x           =x
      50      .            +y           .
      <100    =y           ok:y,=y      =y
      """

  Scenario: power is lost between taking and syncing; the others have it, and keep it
    When this happens
      """
              a            b            c
      0       +x,XX        .            .
      <1200   .            L2           M2
      <1300   no:x         =x           =x
      1400    ^            .            .
      <2900   M3,=x        L3           M3
      """
    Then all that are up agree and have all that was acknowledged

  Scenario: power is lost after the sync and before anybody was told; nobody was acknowledged, nobody has it
    When this happens
      """
              a            b            c
      0       ~            .            .
      1       +x           .            .
      50      XX           .            .
      <1500   .            L2,!x        M2,!x
      1600    -,^          .            .
      <3200   M3,!x        L3,!x        M3,!x
      3300    no:x         +y           .
      <3400   =y,!x        ok:y         =y,!x
      """
    Then all that are up agree and have all that was acknowledged

  Scenario: the leader dies with all acknowledgements in, before it tells
    When this happens
      """
              a            b            c
      0       X<AppendResponse        .            .
      1       +x           .            .
      <1300   .            L2,=x        M2,=x
      1400    ^            .            .
      <2900   M3,=x        L3           M3
      """
    Then all that are up agree and have all that was acknowledged

  Scenario: power is lost everywhere within a few ms of an acknowledgement
    When this happens
      """
              a            b            c
      0       +x           .            .
      <40     ok:x         .            .
      41      XX           XX           XX
      700     ^            ^            ^
      <1700   M3,=x        M3,=x        M3,=x
      1710    ?            .            .
      <1800   ?ok          .            .
      """
    Then all that are up agree and have all that was acknowledged

  Scenario: acknowledged, and the acknowledging disk is lost while all others lose power
    When this happens
      """
              a            b            c
      0       +x           .            .
      <40     ok:x         .            .
      41      W            XX           XX
      500     ^            .            .
      900     K,!x         ^            ^
      <3500   M3,=x        M3,=x        M3,=x
      """
    Then all that are up agree and have all that was acknowledged

  Scenario: acknowledged by a view of two; one is wiped, one is off, the third comes back first
    When this happens
      """
              a            b            c
      0       .            .            XX
      <1000   L2           M2           .
      1000    +x           .            .
      <1100   ok:x         =x           .
      1200    W            XX           .
      1500    .            .            ^
      1600    ^            .            .
      3500    K,!x         .            S,!x
      3600    .            .            +y
      6000    K,no:y       .            S,!x
      6100    .            ^            .
      <8000   M3,=x        M3,=x        M3,=x
      """
    Then all that are up agree and have all that was acknowledged

  Scenario: the longest log is at one who stays, and another leads the change: it is fetched and kept
    When this happens
      """
              a            b            c
      0       ~>b          .            .
      1       +x           .            .
      20      XX           .            .
      <1300   .            L2,=x        M2,=x
      1400    -,^          .            .
      <2900   M3,=x        L3           M3
      """
    Then all that are up agree and have all that was acknowledged

  Scenario: the longest log is at the one who left; what nobody acknowledged is trimmed, there too
    When this happens
      """
              a            b            c
      0       hung5000,~>c .            .
      1       +x           .            .
      30      XX           ~            .
      100     -,well,^     ~            .
      <1300   L2,!x        .            M2,!x
      1300    +y           .            .
      <1400   ok:y         .            =y
      1500    .            -            .
      <3000   L3,!x        M3,=y,!x     M3,!x
      """
    Then all that are up agree and have all that was acknowledged

  Scenario: proposals of a member outlast the leader
    When this happens
      """
              a            b            c
      0       X@AppendRequest     .            .
      1       .            +x           .
      <1500   .            L2,ok:x      M2,=x
      """
    Then all that are up agree and have all that was acknowledged

  Scenario: a state of some size goes to an empty disk in pieces; all are killed on the way, and nothing half is left
    Given a state of 900 kB
    When this happens
      """
              a            b            c
      0       .            .            W
      100     .            .            ^,X<FetchChunkResponse
      <400    .            .            .
      400     X            X            .
      700     ^            ^            ^
      <2500   M3           M3           M3
      """
    Then all that are up agree and have all that was acknowledged
