package brambletray.platform.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.AfterEach;
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
    void neitherOfTwoPipelinedRequestsGoesOnWhenTheirClientDisconnects(String disconnects) {
        play("idempotent", """
                  ms | client           | broker          | a
                   0 | asks-twice r1 r2 | wants, grants a | reads r1
                 190 | %s               | a CANCELLED 190 | loses r1
                3000 |                  |                 |
                """.formatted(disconnects));
    }

    @Test
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
    void aSlotRequestIsWithdrawnWhenTheClientOfPipelinedRequestsDisconnects() {
        play("idempotent", """
                 ms | client           | broker   | a
                  0 | asks-twice r1 r2 | wants    |
                190 | hangs-up         | forgets  |
                900 |                  |          |
                """);
    }

    @Test
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
    void pipelinedRequestsEndWithTheirClientAlsoAtAnEdgeThatShutsDown(String shutdownStep) {
        play("idempotent", """
                 ms | client           | edge | broker          | a
                  0 | asks-twice r1 r2 |      | wants, grants a | reads r1
                 20 |                  | %s   |                 |
                 50 | hangs-up         |      | a CANCELLED 50  | loses r1
                900 |                  |      |                 |
                """.formatted(shutdownStep));
    }

    @Test
    void readingPausesOnceEnoughWaitsAndEachRequestIsServedInItsTurn() {
        play("idempotent", """
                 ms | client  | broker          | a
                  0 | asks r0 | wants, grants a | reads r0
                """);
        ScriptedClient client = (ScriptedClient) proxy.actor("client");
        int requests = 20;
        for (int i = 1; i <= requests; i++) {
            client.send("POST /r/x HTTP/1.1\r\nHost: h.example\r\nBrambletray-Attempt-Id: r" + i
                    + "\r\nContent-Length: 9000\r\n\r\n" + "x".repeat(9_000));
        }
        proxy.until(100);
        assertEquals(1, proxy.counters.clientReadsPaused);
        assertTrue(proxy.router.heldBytes() < 2 * PipelinedInput.MAX_BYTES, proxy.router.heldBytes() + " bytes held");
        for (int i = 0; i <= requests; i++) {
            proxy.broker.act(new String[] {"grants", "a"});
            proxy.actor("a").act(new String[] {"answers", "r" + i});
            proxy.until(110 + i * 10);
            assertEquals(List.of("200 a:r" + i), client.look());
        }
        proxy.broker.act(new String[] {"grants", "a"});
        proxy.actor("client2").act(new String[] {"asks", "last"});
        proxy.settle();
        proxy.actor("a").act(new String[] {"answers", "last"});
        proxy.until(400);
        assertEquals(List.of("200 a:last"), proxy.actor("client2").look());
    }
}
