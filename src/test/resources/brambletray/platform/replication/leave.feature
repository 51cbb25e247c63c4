Feature: Members that leave as planned
  One column a machine, time in ms downwards. The words of a cell are told in Picture.java.

  Scenario: the leader leaves: what is under way is kept, another leads within a tenth of a second, callers are told
    Given a core of "a, b, c" at rest
    When this happens
      """
              a            b            c
      0       +x,bye       .            .
      <90     left,ok:x    L2           M2
      100     X            +y           .
      <150    .            ok:y         =y
      2000    ^            .            .
      <3500   M3,=y        L3           M3
      """
    Then all that are up agree and have all that was acknowledged

  Scenario: another member leaves
    Given a core of "a, b, c" at rest
    When this happens
      """
              a            b            c
      0       +x           .            bye
      <90     L2,ok:x      M2           left
      100     +y           .            X
      <150    ok:y         =y           .
      """
    Then all that are up agree and have all that was acknowledged

  Scenario Outline: one doesn't hear the leader's Bye, as its link (<link>) is cut: it hears of it from the next leader
    Given a core of "a, b, c" at rest
    When this happens
      """
              a            b            c
      0       <link>       .            .
      10      bye          .            .
      <90     left         L2           M2
      """

    Examples:
      | link |
      | ~>c  |
      | ~c   |

  Scenario: the next leader dies before it tells the leaver that it is out; it hears of it from the one after
    Given a core of "a, b, c, d, e" at rest
    When this happens
      """
              a            b            c            d            e
      0       bye          X@NotMember       .            .            .
      <1500   left         .            M3           M3           M3
      """

  Scenario: the word that it is out is lost: it is said again
    Given a core of "a, b, c" at rest
    When this happens
      """
              a            b            c
      0       ~>c@NotMember     ~>c          bye
      300     L2           M2           stays
      310     -            -            .
      <450    L2           M2           left
      """

  Scenario Outline: <who> leaves while the one that takes its place fetches the state: it stays until that is in
    Given a core of "a, b, c" at rest
    And a state of 300 kB
    And a spare machine "d" that is told of "a, b, c"
    When this happens
      """
              a            b            c            d
      0       <a>          .            <c>          ^
      <2000   <left a>     .            <left c>     .
      +0      <in a>       <in b>       <in c>       M3
      """
    Then all that are up agree and have all that was acknowledged

    Examples:
      | who       | a         | c         | left a | left c | in a | in b | in c |
      | a leader  | bye<JoinRequest | .         | left   | .      | .    | L3   | M3   |
      | another   | .         | bye<JoinRequest | .      | left   | L3   | M3   | .    |

  Scenario: the newcomer dies on the way: the leaver goes without it
    Given a core of "a, b, c" at rest
    And a state of 300 kB
    And a spare machine "d" that is told of "a, b, c"
    When this happens
      """
              a            b            c            d
      0       bye<JoinRequest    .            .            ^,X@FetchChunkRequest
      1000    stays,L3     M3           M3           .
      <1300   left         L2           M2           .
      """

  Scenario: one of two stays until another is in, as alone the other would bear no loss
    Given a core of "a, b, c" at rest
    And a spare machine "d" that is told of "a, b"
    When this happens
      """
              a            b            c            d
      0       .            .            XX           .
      <1000   L2           M2           .            .
      1000    +x           bye          .            .
      2000    ok:x,L2      stays,M2     .            .
      2100    +y           .            .            ^
      <3500   L2,ok:y      left         .            M2,=x,=y
      3600    .            W            .            .
      4000    +z           .            .            .
      <4100   ok:z         .            .            =z
      """
    Then all that are up agree and have all that was acknowledged

  Scenario: nobody comes, or nobody is in touch: it ends in time all the same
    Given a core of "a, b, c" at rest
    When this happens
      """
              a            b            c
      0       .            .            XX
      1000    .            X            .
      1500    bye          .            .
      5000    stays        .            .
      <6600   left         .            .
      """

  Scenario: two leave at once, of five
    Given a core of "a, b, c, d, e" at rest
    When this happens
      """
              a            b            c            d            e
      0       +x,bye       bye          .            .            .
      <600    left,ok:x    left         L3           M3           M3
      """

  Scenario: a leaver whose knock is older than its leaving is not waited for
    Given a core of "a, b, c" at rest
    And a spare machine "d" that is told of "a"
    When this happens
      """
              a            b            c            d
      0       .            .            .            ^,bye>JoinRequest
      <60     .            .            .            left
      400     L3,+x        M3           M3           .
      <450    ok:x         =x           =x           .
      """
