Feature: One holder of the duty, under a term that only grows
  One column a machine, time in ms downwards. The words of a cell are told in Picture.java and DutySteps.java.

  Background:
    Given a core of "a, b, c" with a holder, at rest

  Scenario: the view's leader holds it, and all know
    When this happens to the duty
      """
              a            b            c
      0       H,sees:a     sees:a       sees:a
      5000    H,sees:a     sees:a       sees:a
      """

  Scenario: the holder dies; another holds it soon after the view without it, not before its lease is over
    When this happens to the duty
      """
              a            b            c
      0       X            .            .
      800     .            h            h
      <1900   .            H            sees:b
      2500    ^            .            .
      <4500   h,sees:b     H            sees:b
      """

  Scenario: the holder is frozen between its check and its act; its act comes with an old term
    When this happens to the duty
      """
              a            b            c
      0       check        .            .
      1       z4000        .            .
      <2500   .            H            .
      2600    .            check        .
      2700    .            act,done     .
      4100    act,fenced,h H            .
      """

  Scenario: a holder that was frozen for less than its lease doubts itself until it is renewed
    When this happens to the duty
      """
              a            b            c
      0       z600         .            .
      600     h            h            h
      <900    H            h            h
      2000    H            h            h
      """

  Scenario: the holder is cut off; it has stopped before the next one starts
    When this happens to the duty
      """
              a            b            c
      0       ~            .            .
      850     h            h            h
      <1900   h            H            h
      3000    -            .            .
      <4600   h,sees:b     H            sees:b
      """

  Scenario: planned handing over; the one that is named holds it at once
    When this happens to the duty
      """
              a            b            c
      0       yield        .            .
      1       h            .            .
      <60     h            H            sees:b
      3000    h,sees:b     H            sees:b
      """

  Scenario: it stays where it is when others leave and come
    When this happens to the duty
      """
              a            b            c
      0       H            .            X
      <950    L2,H         M2           .
      2000    .            .            ^
      <3500   L3,H         M3           M3
      <3600   H            sees:a       sees:a
      """

  Scenario: all are killed; the next term is higher
    When this happens to the duty
      """
              a            b            c
      0       XX           XX           XX
      500     ^            ^            ^
      <2500   H            h            h
      """

  Scenario: all lose power and one its disk; the next term is higher
    When this happens to the duty
      """
              a            b            c
      0       W            XX           XX
      500     ^            ^            ^
      <3500   h            H            h
      <3900   h,M3,sees:b  H            sees:b
      """

  Scenario: a full disk grants nothing; the holder that is back takes it up again
    When this happens to the duty
      """
              a            b            c
      0       .            full         .
      3000    H            h            h
      3100    X            .            .
      6000    .            h            h
      6100    ^            .            .
      <8000   H            h            h
      """

  Scenario: a holder that is cut off names nobody once its lease is over, itself least
    When this happens to the duty
      """
              a            b            c
      0       ~            .            .
      810     h,sees:none  .            .
      1220    sees:none    .            .
      1300    sees:none    .            .
      1500    sees:none    .            .
      3000    sees:none    .            .
      """

  Scenario: a holder that hears of a higher term acts again only once a majority has agreed anew
    When this happens to the duty
      """
              a            b            c
      0       H            .            .
      1       doubt        .            .
      2       h,sees:none  .            .
      <40     H            h            h
      3000    H,sees:a     sees:a       sees:a
      """

  Scenario: a holder that is cut off and hears of a higher term acts no more, though its lease would run on
    When this happens to the duty
      """
              a            b            c
      0       ~            .            .
      50      H            .            .
      60      doubt        .            .
      61      h            .            .
      300     h            .            .
      700     h            .            .
      3000    h            .            .
      """

  Scenario: alone after a restart, with a disk proven lost, a member has the newest changes on disk but not in its state: it doesn't act on the old one
    When this happens to the duty
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
