package brambletray.platform.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A client pipelines requests and disconnects: the edge notices it although input waits behind a request. */
class DepartedPipeliningClientTest {
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
    @Tag("known-red")
    void neitherOfTwoPipelinedRequestsGoesOnWhenTheirClientDisconnects(String disconnects) {
        play("idempotent", """
                  ms | client           | broker          | a
                   0 | asks-twice r1 r2 | wants, grants a | reads r1
                 190 | %s               | a CANCELLED 190 | loses r1
                3000 |                  |                 |
                """.formatted(disconnects));
    }

    @Test
    @Tag("known-red")
    void aRequestBehindOneThatRunsToItsEndIsNotServedAfterItsClientDisconnects() {
        play("non_idempotent", """
                  ms | client            | broker          | a
                   0 | posts r1          | wants, grants a | reads r1
                 100 | posts r2, asks r3 |                 |
                 200 | hangs-up          |                 |
                 900 |                   | a SERVED 900    | answers r1
                3000 |                   |                 |
                """);
    }

    @Test
    @Tag("known-red")
    void aSlotRequestIsWithdrawnWhenTheClientOfPipelinedRequestsDisconnects() {
        play("idempotent", """
                 ms | client           | broker   | a
                  0 | asks-twice r1 r2 | wants    |
                190 | hangs-up         | forgets  |
                900 |                  |          |
                """);
    }

    @Test
    @Tag("known-red")
    void aBootingHostGetsNeitherOfTwoPipelinedRequestsAfterTheirClientDisconnects() {
        play("non_idempotent", """
                 ms | client             | broker                  | a
                  0 |                    |                         | X
                  1 | posts r1, posts r2 | wants, grants a booting |
                190 | hangs-up           | unused a                |
                500 |                    |                         | rises
                900 |                    |                         |
                """);
    }

    @Test
    @Tag("known-red")
    void aRetryIsNotSentAfterTheClientOfPipelinedRequestsDisconnects() {
        play("idempotent", """
                 ms | client           | broker                         | a         | b
                  0 | asks-twice r1 r2 | wants, grants a                | reads r1  |
                 10 |                  | a BROKEN 10, wants again but a | resets r1 |
                190 | hangs-up         | forgets                        |           |
                900 |                  |                                |           |
                """);
    }

    @Test
    @Tag("known-red")
    void anEdgeThatStoodStillServesNoPipelinedRequestOfAClientThatDisconnectedMeanwhile() {
        play("idempotent", """
                 ms | client           | broker          | a
                  0 | asks-twice r1 r2 | wants, grants a | reads r1
                """);
        proxy.freezeWhile(800, () -> proxy.actor("client").act(new String[] {"hangs-up"}));
        proxy.until(810);
        assertEquals(List.of("loses r1"), proxy.actor("a").look());
    }

    @ParameterizedTest
    @ValueSource(strings = {"drains", "shuts"})
    @Tag("known-red")
    void pipelinedRequestsEndWithTheirClientAlsoAtAnEdgeThatShutsDown(String shutdownStep) {
        play("idempotent", """
                 ms | client           | edge | broker          | a
                  0 | asks-twice r1 r2 |      | wants, grants a | reads r1
                 20 |                  | %s   |                 |
                 50 | hangs-up         |      | a CANCELLED 50  | loses r1
                900 |                  |      |                 |
                """.formatted(shutdownStep));
    }
}
