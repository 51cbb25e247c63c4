Feature: One holder of the lease, under a term that only increases
  One column per machine, time in ms from top to bottom. The words of the cells are explained in Timeline.java (replication) and
  ElectionSteps.java.

  Background:
    Given a stable core of "a, b, c" with a lease holder

  Scenario: The leader of the view holds the lease, and all members know it
    When the following timeline runs
      """
              a            b            c
      0       H,sees:a     sees:a       sees:a
      5000    H,sees:a     sees:a       sees:a
      """

  Scenario: The holder is killed; another member holds the lease soon after the view without it, but not before the old lease has expired
    When the following timeline runs
      """
              a            b            c
      0       X            .            .
      800     .            h            h
      <1900   .            H            sees:b
      2500    ^            .            .
      <4500   h,sees:b     H            sees:b
      """

  Scenario: The holder is paused between its check and its action; the action is rejected because its term is outdated
    When the following timeline runs
      """
              a            b            c
      0       check        .            .
      1       z4000        .            .
      <2500   .            H            .
      2600    .            check        .
      2700    .            act,accepted .
      4100    act,fenced,h H            .
      """

  Scenario: A holder that was paused for less than its lease does not act until the lease is renewed
    When the following timeline runs
      """
              a            b            c
      0       z600         .            .
      600     h            h            h
      <900    H            h            h
      2000    H            h            h
      """

  Scenario: The holder is isolated; it has stopped before the next one starts
    When the following timeline runs
      """
              a            b            c
      0       ~            .            .
      850     h            h            h
      <1900   h            H            h
      3000    -            .            .
      <4600   h,sees:b     H            sees:b
      """

  Scenario: Planned handover; the named successor holds the lease at once
    When the following timeline runs
      """
              a            b            c
      0       handover     .            .
      1       h            .            .
      <60     h            H            sees:b
      3000    h,sees:b     H            sees:b
      """

  Scenario: The holder keeps the lease when other members leave and join
    When the following timeline runs
      """
              a            b            c
      0       H            .            X
      <950    L2,H         M2           .
      2000    .            .            ^
      <3500   L3,H         M3           M3
      <3600   H            sees:a       sees:a
      """

  Scenario: All members are killed; the next term is higher
    When the following timeline runs
      """
              a            b            c
      0       XX           XX           XX
      500     ^            ^            ^
      <2500   H            h            h
      """

  Scenario: All members lose power and one loses its disk; the next term is higher
    When the following timeline runs
      """
              a            b            c
      0       W            XX           XX
      500     ^            ^            ^
      <3500   h            H            h
      <3900   h,M3,sees:b  H            sees:b
      """

  Scenario: A voter with a full disk grants nothing; a restarted holder resumes the lease
    When the following timeline runs
      """
              a            b            c
      0       .            full         .
      3000    H            h            h
      3100    X            .            .
      6000    .            h            h
      6100    ^            .            .
      <8000   H            h            h
      """

  Scenario: An isolated holder reports no holder, not even itself, once its lease has expired
    When the following timeline runs
      """
              a            b            c
      0       ~            .            .
      810     h,sees:none  .            .
      1220    sees:none    .            .
      1300    sees:none    .            .
      1500    sees:none    .            .
      3000    sees:none    .            .
      """

  Scenario: A holder that learns of a higher term acts again only once a majority has renewed its lease
    When the following timeline runs
      """
              a            b            c
      0       H            .            .
      1       higherterm   .            .
      2       h,sees:none  .            .
      <40     H            h            h
      3000    H,sees:a     sees:a       sees:a
      """

  Scenario: An isolated holder that learns of a higher term stops acting before its lease expires
    When the following timeline runs
      """
              a            b            c
      0       ~            .            .
      50      H            .            .
      60      higherterm   .            .
      61      h            .            .
      300     h            .            .
      700     h            .            .
      3000    h            .            .
      """

  Scenario: A member alone after a restart, the other's disk proven lost, has the newest changes on disk but not in its state, and does not act on the old state
    When the following timeline runs
      """
              a            b            c
      0       .            .            XX
      <1500   L2,H         M2           .
      1600    +x           .            .
      <1700   ok:x,=x      =x           .
      1800    XX           W            .
      2000    ^            .            .
      2300    .            ^            .
      2400    .            X            .
      <3500   L1,!x        .            .
      4500    L1,!x,h      .            .
      6000    L1,!x,h      .            .
      6100    .            ^            .
      <8500   L2,=x,H      M2,=x        .
      """
