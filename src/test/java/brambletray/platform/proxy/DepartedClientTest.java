package brambletray.platform.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A client disconnects before its response (rule GONE); in the drawings, hosts "lose" what is taken from them. */
class DepartedClientTest {
    private final SimulatedProxy proxy = new SimulatedProxy();

    @AfterEach
    void nothingIsLeftOver() {
        proxy.assertNothingLeft();
    }

    private void play(String routeType, String drawn) {
        proxy.route(routeType, 3);
        proxy.play(drawn);
    }

    @ParameterizedTest
    @ValueSource(strings = {"hangs-up", "resets"})
    void workAtAHostEndsWhenItsClientDisconnects(String disconnects) {
        play("idempotent", """
                 ms | client   | broker          | a
                  0 | asks r1  | wants, grants a | reads r1
                190 | %s       | a CANCELLED 190 | loses r1
                """.formatted(disconnects));
    }

    @Test
    void bothCopiesOfAHedgedRequestEndWhenTheirClientDisconnects() {
        play("idempotent", """
                 ms | client   | broker                           | a        | b
                  0 | asks r1  | wants, grants a                  | reads r1 |
                200 |          | wants copy but a, grants b       |          | reads r1
                300 | hangs-up | a CANCELLED 300, b CANCELLED 100 | loses r1 | loses r1
                900 |          |                                  |          |
                """);
    }

    @Test
    void aHedgedRequestThatWaitsForASlotIsNotSentAfterItsClientDisconnects() {
        play("idempotent", """
                 ms | client   | broker                   | a
                  0 | asks r1  | wants, grants a          | reads r1
                200 |          | wants copy but a         |
                300 | hangs-up | forgets, a CANCELLED 300 | loses r1
                900 |          |                          |
                """);
    }

    @ParameterizedTest
    @ValueSource(strings = {"asks r1", "asks r1, sleeps"})
    void aStreamIsBrokenOffAtItsHostWhenItsClientDisconnects(String asks) {
        play("idempotent", """
                 ms | client   | broker          | a
                  0 | %s       | wants, grants a | reads r1
                 10 |          |                 | pours r1
                 50 | hangs-up | a CANCELLED 50  | loses r1
                """.formatted(asks));
    }

    @ParameterizedTest
    @ValueSource(strings = {"hangs-up", "resets"})
    void anEdgeThatStoodStillEndsTheWorkOfAClientThatDisconnectedMeanwhile(String disconnects) {
        play("idempotent", """
                 ms | client   | broker          | a
                  0 | asks r1  | wants, grants a | reads r1
                """);
        proxy.freezeWhile(800, () -> proxy.actor("client").act(new String[] {disconnects}));
        proxy.until(810);
        assertEquals(List.of("loses r1"), proxy.actor("a").look());
    }

    @ParameterizedTest
    @ValueSource(strings = {"drains", "shuts"})
    void workEndsWithItsClientAlsoAtAnEdgeThatShutsDown(String shutdownStep) {
        play("idempotent", """
                 ms | client   | client2  | edge | broker                  | a
                  0 | asks r1  |          |      | wants, grants a         | reads r1
                 10 |          | asks r2  |      | wants                   |
                 20 |          |          | %s   |                         |
                 50 | hangs-up | hangs-up |      | a CANCELLED 50, forgets | loses r1
                900 |          |          |      |                         |
                """.formatted(shutdownStep));
    }

    @Test
    void aCallOfAHostEndsWhenTheHostDropsTheRequestThatMadeIt() {
        play("idempotent", """
                 ms | client   | client-at-a | broker                | a        | b
                  0 | asks r1  |             | wants, grants a       | reads r1 |
                 10 |          | asks r2     | wants inner, grants b |          | reads r2
                 90 | hangs-up |             | a CANCELLED 90        | loses r1 |
                 91 |          | hangs-up    | b CANCELLED 81        |          | loses r2
                """);
    }

    @Test
    void aRequestThatWaitsForASlotIsNotSentAfterItsClientDisconnects() {
        play("idempotent", """
                 ms | client   | broker   | a
                  0 | asks r1  | wants    |
                190 | hangs-up | forgets  |
                900 |          |          |
                """);
    }

    @Test
    void aRequestThatWaitsForABootingHostIsNotSentAfterItsClientDisconnects() {
        play("non_idempotent", """
                 ms | client   | broker                  | a
                  0 |          |                         | X
                  1 | posts r1 | wants, grants a booting |
                190 | hangs-up | unused a                |
                500 |          |                         | rises
                900 |          |                         |
                """);
    }

    @Test
    void aRetryThatWaitsForASlotIsNotSentAfterItsClientDisconnects() {
        play("idempotent", """
                 ms | client   | broker                         | a         | b
                  0 | asks r1  | wants, grants a                | reads r1  |
                 10 |          | a BROKEN 10, wants again but a | resets r1 |
                190 | hangs-up | forgets                        |           |
                900 |          |                                |           |
                """);
    }

    @Test
    void aRequestThatMustNotBeRepeatedRunsToItsEndOnceAlthoughItsClientDisconnected() {
        play("non_idempotent", """
                 ms | client   | client2  | broker          | a
                  0 | posts r1 |          | wants, grants a | reads r1
                190 | hangs-up |          |                 |
                900 |          |          | a SERVED 900    | answers r1
                910 |          | posts r2 | wants, grants a | reads r2
                920 |          | 200 a:r2 | a SERVED 10     | answers r2
                """);
        assertEquals(1, proxy.counters.attemptsLeftRunning);
    }

    @Test
    void aKeyedRequestRunsToItsEndOnceAndItsAnswerIsRecordedAlthoughItsClientDisconnected() {
        play("keyed", """
                 ms | client   | claims                 | broker          | a
                  0 | keys r1  | claim k1 for 80        |                 |
                 10 |          | grants                 | wants, grants a | reads r1
                190 | resets   |                        |                 |
                900 |          | done 200 a:r1 sealed   | a SERVED 890    | answers r1
                """);
    }

    @Test
    void aStreamThatMustNotBeRepeatedIsReadToItsEndAndItsConnectionIsKept() {
        play("non_idempotent", """
                 ms | client           | client2  | broker          | a
                  0 | posts r1, sleeps |          | wants, grants a | reads r1
                 10 |                  |          |                 | pours r1
                 20 | hangs-up         |          |                 |
                 30 |                  |          | a SERVED 30     | ends r1
                 40 |                  | posts r2 | wants, grants a | reads r2
                 50 |                  | 200 a:r2 | a SERVED 10     | answers r2
                """);
    }
}
