Feature: View changes
  One column per machine, time in ms downwards. Timeline.java defines the words of a cell.

  Background:
    Given a core of "a, b, c" at rest

  Scenario Outline: the proposer of a view change fails before sending, after sending or after receiving a message (<how> <step>)
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

  Scenario Outline: the proposer fails when another member has stored the new view: it may be active, so both members are needed (<how> <step>)
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

  Scenario Outline: the only other member in a view change fails before or after a message (<how> <step>)
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

  Scenario: a failed member is excluded within 950 ms and rejoins within 1500 ms
    When this happens
      """
              a            b            c
      0       .            .            X
      <950    L2           M2           .
      3000    .            .            ^
      <4500   L3           M3           M3
      """

  Scenario: a process that restarts immediately stays a member; a failed leader is replaced within 1200 ms
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

  Scenario: a member with a wiped disk does not count towards a quorum under its old address
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

  Scenario: a leader that is cut off in an old view acknowledges nothing
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

  Scenario: the leader receives nothing but its messages arrive
    When this happens
      """
              a            b            c
      0       .            ~>a          ~>a
      <1900   S            L2           M2
      2000    .            -            -
      <3700   M3           L3           M3
      """

  Scenario: a member that receives nothing but whose messages arrive does not disturb the others
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

  Scenario: the link between the leader and one member is cut; the other member stays with the leader
    When this happens
      """
              a            b            c
      0       ~c           .            .
      <1200   L2           M2           .
      4000    L2           M2           .
      4100    -            .            .
      <5700   L3           M3           M3
      """

  Scenario: a member with a full disk is excluded and rejoins once there is space
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

  Scenario: the disk of the leader hangs for 5 s
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

  Scenario: a disk that is 25 times slower delays commits but its member is not excluded
    When this happens
      """
              a            b            c
      0       .            slow125      .
      100     +x           .            .
      <300    ok:x         .            .
      3000    L3           M3           M3
      """

  Scenario: members that were frozen suspect no other member
    When this happens
      """
              a            b            c
      0       z600         z600         .
      2000    L3           M3           M3
      2100    .            z500         .
      3500    L3           M3           M3
      """

  Scenario: two of three members are frozen for longer than the election timeout; the view does not change
    When this happens
      """
              a            b            c
      0       z1500        z1500        .
      1600    L3           M3           .
      2600    L3,V1        M3,V1        M3,V1
      """

  Scenario: an entry is not acknowledged while a member of the view does not have it on disk
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

  Scenario: a leader frozen for 3 s resumes in an old view and acknowledges nothing in it
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

  Scenario: all processes are killed and restarted within 1 s; the cluster recovers within 1250 ms
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

  Scenario: all processes are killed repeatedly
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

  Scenario: planned shutdowns of one leader after another cause no delay
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
