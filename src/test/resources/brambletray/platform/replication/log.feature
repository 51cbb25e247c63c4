Feature: Acknowledged changes are not lost
  One column per machine; time in ms runs downwards. Timeline.java explains the words in the cells.
  The first machine of an idle group leads.

  Background:
    Given a core of "a, b, c" at rest

  Scenario: a change is acknowledged once all members have it on disk, and is applied on all
    When this happens
      """
              a            b            c
      0       +x           .            .
      <40     ok:x,=x      =x           =x
      50      .            +y           .
      <100    =y           ok:y,=y      =y
      """

  Scenario: the leader loses power before its sync, and the others keep the change
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

  Scenario: the isolated leader loses power after its sync, and the unacknowledged change is discarded
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

  Scenario: the leader is killed after it has received an acknowledgement and before it announces the commit
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

  Scenario: all machines lose power right after an acknowledgement
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

  Scenario: the leader loses its disk and all others lose power right after an acknowledgement
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

  Scenario: a change acknowledged by two is kept when one is wiped, one is down and the third returns first
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

  Scenario: the proposer of a view change fetches the longest log from another member
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

  Scenario: an unacknowledged entry on an excluded member is discarded, also on its disk when it rejoins
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

  Scenario: a follower's proposal survives the loss of the leader
    When this happens
      """
              a            b            c
      0       X@AppendRequest     .            .
      1       .            +x           .
      <1500   .            L2,ok:x      M2,=x
      """
    Then all that are up agree and have all that was acknowledged

  Scenario: all machines are killed during a chunked state transfer, and no partial state remains
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
