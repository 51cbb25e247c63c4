package brambletray.relay.fleet;

import static org.junit.jupiter.api.Assertions.*;

import brambletray.relay.stub.HostStub;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Processes that are killed while times run: a told wait, a deadline, and a wall clock that is stepped meanwhile. */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class DatesTest {
    private static final String HOUR = "-Dbrambletray.wall_step_ms=3600000";
    private static final String HOUR_BACK = "-Dbrambletray.wall_step_ms=-3600000";
    private static final long WAIT_S = 6;

    @TempDir
    Path folder;

    private final List<RelayProcess> relays = new ArrayList<>();
    private HostStub host;

    @BeforeEach
    void begin() throws IOException {
        host = new HostStub();
        Files.writeString(
                folder.resolve("hosts.csv"),
                "name,address,port,destination,rate\na,127.0.0.1," + host.port() + ",7,50\n");
        Files.writeString(folder.resolve("relay.yaml"), """
            listen: 127.0.0.1:0
            folder: state
            inventory: hosts.csv
            outlasts: process
            limits: {tries: 5}
            classes:
              - {name: read, effect: safe, limit_ms: 60000}
              - {name: brief, effect: safe, limit_ms: 5000}
            """);
    }

    @AfterEach
    void end() throws IOException {
        relays.forEach(RelayProcess::close);
        host.close();
    }

    private RelayProcess start(String... options) throws IOException {
        RelayProcess relay = new RelayProcess(folder.resolve("relay.yaml"), options);
        relays.add(relay);
        return relay;
    }

    /** Tells a wait, kills the relay at once, starts it again with its wall clock stepped. */
    private void waitOutlasts(String... options) throws Exception {
        RelayProcess relay = start();
        assertEquals(202, relay.post("m", "read", 7).statusCode());
        HostStub.Call call = host.call();
        long told = System.nanoTime();
        call.answer("HTTP/1.1 503 Busy\r\nRetry-After: " + WAIT_S + "\r\nContent-Length: 0\r\n\r\n");
        // The turn that heard it has written it: this one's message is in a later batch.
        assertEquals(202, relay.post("n", "read", 7).statusCode());
        relay.kill();
        RelayProcess back = start(options);
        for (int i = 0; i < 2; i++) {
            HostStub.Call next = host.call();
            long after = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - told);
            assertTrue(after >= WAIT_S * 1_000, "sent " + after + " ms after a wait of " + WAIT_S + " s");
            next.answer(HostStub.OK);
        }
        back.awaitAnswer("m", "delivered");
        back.awaitAnswer("n", "delivered");
    }

    /** Rule 6, and rule 1: what is owed is not given up because the clock says that its time is over. */
    @Test
    void aToldWaitOutlastsAKillAndAClockSetForward() throws Exception {
        waitOutlasts(HOUR);
        relays.get(1).await("the wall clock was set forward by 3[56]\\d{5} ms");
    }

    @Test
    void aToldWaitOutlastsAKillAndAClockSetBack() throws Exception {
        waitOutlasts(HOUR_BACK);
    }

    /** Rule 1: an hour back must not give a message an hour more; and so for a third life. */
    @Test
    void aDeadlineStaysWhereItWasWhenTheClockIsSetBack() throws Exception {
        RelayProcess relay = start();
        assertEquals(202, relay.post("late", "brief", 7).statusCode());
        host.call();
        // Nobody is left to send it to: it waits for its time to be over.
        Files.writeString(folder.resolve("hosts.csv"), "name,address,port,destination,rate\nb,127.0.0.1,1,8,50\n");
        relay.kill();
        RelayProcess back = start(HOUR_BACK);
        back.await("the wall clock was set back by 3[56]\\d{5} ms");
        back.kill();
        RelayProcess third = start(HOUR_BACK);
        third.await("the wall clock was set back by 3[56]\\d{5} ms");
        third.awaitAnswer("late", "(given_up|handed_back)");
    }
}
