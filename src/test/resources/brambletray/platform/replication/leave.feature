Feature: Planned leaves
  One column per machine; time in ms runs downwards. Timeline.java explains the words in the cells.

  Scenario: the leader leaves: entries in flight are committed and another member leads within 100 ms
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

  Scenario: a follower leaves
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

  Scenario Outline: a member misses the leader's leave request (link cut: <link>) and follows the next leader
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

  Scenario: the next leader is killed before it confirms the leave, and its successor confirms it
    Given a core of "a, b, c, d, e" at rest
    When this happens
      """
              a            b            c            d            e
      0       bye          X@NotMember       .            .            .
      <1500   left         .            M3           M3           M3
      """

  Scenario: the confirmation of a leave is lost and sent again
    Given a core of "a, b, c" at rest
    When this happens
      """
              a            b            c
      0       ~>c@NotMember     ~>c          bye
      300     L2           M2           stays
      310     -            -            .
      <450    L2           M2           left
      """

  Scenario Outline: <who> leaves while its replacement fetches the state, and stays until the replacement has joined
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

  Scenario: the newcomer is killed during the transfer, and the member leaves without it
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

  Scenario: one of two members stays until another has joined, as the other alone would not tolerate a loss
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

  Scenario: a member without reachable peers leaves after its time-out
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

  Scenario: two of five members leave at once
    Given a core of "a, b, c, d, e" at rest
    When this happens
      """
              a            b            c            d            e
      0       +x,bye       bye          .            .            .
      <600    left,ok:x    left         L3           M3           M3
      """

  Scenario: a newcomer that leaves after its join request is not waited for
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
