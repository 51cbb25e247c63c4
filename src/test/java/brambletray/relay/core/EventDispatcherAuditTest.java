package brambletray.relay.core;

import static org.junit.jupiter.api.Assertions.*;

import brambletray.common.runtime.Machine;
import brambletray.common.simulation.Simulation;
import brambletray.relay.control.Relay;
import brambletray.relay.journal.Journal;
import brambletray.relay.membership.HostList;
import brambletray.relay.message.Body;
import brambletray.relay.message.Message;
import brambletray.relay.metrics.MessageMetrics;
import brambletray.relay.metrics.MessageMetrics.End;
import brambletray.relay.store.MemoryDisk;
import brambletray.relay.store.Store;
import brambletray.relay.wire.Wire;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Loop, module and journal hold the same messages, whatever ends one; and where they do not, that is seen. */
class EventDispatcherAuditTest {
    private static final long SECOND_US = 1_000_000;
    private static final String HOST_LIST =
            "{\"seq\":1,\"whole\":true,\"hosts\":[{\"host\":\"s\",\"dial\":\"10.0.0.9:1\",\"site\":\"a\","
                    + "\"class\":\"m\",\"block\":7,\"health\":\"ready\",\"share\":50}]}";

    private final List<Consumer<CallReply>> replyCallbacks = new ArrayList<>();
    private final Simulation simulation = new Simulation(1, 1_900_000_000_000L);
    private final MessageMetrics metrics = new MessageMetrics(List.of("bill", "pay"));
    private final MemoryDisk disk = new MemoryDisk();
    private Machine machine;
    private Journal journal;
    private EventDispatcher dispatcher;

    @BeforeEach
    void startDispatcher() throws Exception {
        machine = simulation.machine(InetAddress.getByAddress(new byte[] {10, 0, 0, 1}));
        HostList hosts = new HostList(List.of("a"), List.of("m"));
        Relay.Settings settings = new Relay.Settings(
                0,
                1,
                0,
                false,
                0,
                Relay.Weights.ROUGH,
                List.of(
                        new Relay.MessageClass("bill", 2 * SECOND_US, 16 * SECOND_US, 1, 0.3, Relay.Effect.KEYED, false, 15 * SECOND_US, false),
                        new Relay.MessageClass("pay", 2 * SECOND_US, 16 * SECOND_US, 1, 0.3, Relay.Effect.UNSAFE, false, 0, false)),
                List.of(),
                List.of(new Relay.Kind(true, 1)),
                new Relay.Allowed(8, 6, 12, false, true, 1, SECOND_US, 15 * SECOND_US, 3 * SECOND_US),
                new Relay.Rules(250_000, 2, 3 * SECOND_US, 0.2, 12 * SECOND_US, 0, 20_000),
                new Relay.Prices(0, 0, 0, 0, List.of()));
        journal = Journal.open(disk, 3_000_000, Store.Promise.PROCESS, 12);
        HostTransport calls = new HostTransport() {
            @Override
            public Call call(Host host, Message message, long patience, Consumer<CallReply> whenEnded) {
                replyCallbacks.add(whenEnded);
                return () -> {};
            }

            @Override
            public void recall(Host host) {}

            @Override
            public void closeIdle(Host host) {}

            @Override
            public boolean forget(Host host) {
                return true;
            }
        };
        Platform platform = new Platform() {
            @Override
            public void watch() {}

            @Override
            public void postNotice(Journal.Entry entry) {
                dispatcher.onNoticeAcknowledged(entry);
            }

            @Override
            public boolean hasUnacknowledgedNotices() {
                return false;
            }

            @Override
            public void onAgentAddressChanged(InetSocketAddress agent) {}
        };
        dispatcher = new EventDispatcher(machine, 1, settings, hosts, calls, journal, metrics);
        machine.loop().execute(() -> {
            try {
                dispatcher.start(platform, hosts.update(Wire.decode(HOST_LIST)));
            } catch (Wire.Malformed e) {
                throw new IllegalStateException(e);
            }
        });
        advance(0);
    }

    private void advance(long millis) {
        simulation.runUntil(simulation.now() + millis * 1_000_000);
    }

    private String submit(String id, String messageClass, long millis) {
        String[] met = {"nothing"};
        machine.loop()
                .execute(() -> dispatcher.accept(
                        new Message(
                                id,
                                messageClass,
                                0,
                                null,
                                "k-" + id,
                                7,
                                machine.clock().unixMillis() + millis,
                                Body.of(new byte[10])),
                        new SubmissionResult() {
                            @Override
                            public void accepted() {
                                met[0] = "taken";
                            }

                            @Override
                            public void duplicate() {
                                met[0] = "held";
                            }

                            @Override
                            public void conflict() {
                                met[0] = "conflict";
                            }

                            @Override
                            public void refused(long retryAfter) {
                                met[0] = "refused";
                            }

                            @Override
                            public void failed() {
                                met[0] = "failed";
                            }
                        }));
        advance(0);
        return met[0];
    }

    private void reply(Relay.Outcome outcome, boolean over) {
        Consumer<CallReply> next = replyCallbacks.remove(0);
        machine.loop().execute(() -> next.accept(new CallReply(outcome, over, 0, 1_000, -1, -1)));
        advance(0);
    }

    private void assertConsistent() {
        assertNull(dispatcher.findInconsistency());
        long ended = 0;
        for (End end : End.values()) {
            ended += metrics.count(0, end) + metrics.count(1, end);
        }
        assertEquals(journal.owed().size(), metrics.inFlight());
        assertTrue(ended >= 0);
    }

    /**
     * rb38060: out of descriptors, the store refused each batch at once, and what was staged anew was tried
     * again without a pause: a core spent on nothing.
     */
    @Test
    void failedCommitIsRetriedWithADelay() {
        int[] tries = {0};
        boolean[] fails = {false};
        boolean[] noted = {false};
        disk.fault((operation, name, bytes) -> {
            if (fails[0] && operation.equals("write") && ++tries[0] < 1_000) {
                throw new IOException("Too many open files");
            }
        });
        dispatcher.completionListener(new CompletionListener() {
            @Override
            public void onCompleted(Message message, End end, long retryAfter) {
                journal.store().put((byte) 99, 1, new byte[] {1});
                dispatcher.onStaged();
            }

            @Override
            public boolean wantsAll() {
                return true;
            }

            @Override
            public void onBatchFailed() {
                onCompleted(null, null, 0);
            }

            @Override
            public void onCommitted() {
                noted[0] = !journal.store().chains((byte) 99).isEmpty();
            }
        });
        submit("a", "bill", 16_000);
        fails[0] = true;
        reply(Relay.Outcome.OK, false);
        advance(1_000);
        assertTrue(tries[0] >= 8 && tries[0] <= 14, tries[0] + " tries in a second");
        assertFalse(noted[0]);
        fails[0] = false;
        advance(100);
        assertTrue(noted[0], "written once it can be, with no turn in between");
        assertConsistent();
    }

    /** Each way in which a message ends: counted once, and held nowhere any more. */
    @Test
    void openMessagesAreConsistentAfterEachKindOfEnd() {
        assertEquals("taken", submit("delivered", "bill", 16_000));
        assertConsistent();
        reply(Relay.Outcome.OK, false);
        assertConsistent();
        assertEquals(1, metrics.count(0, End.SERVED));
        submit("over", "bill", 16_000);
        reply(Relay.Outcome.NOT_SENT, true);
        assertConsistent();
        assertEquals(1, metrics.count(0, End.FAILED));
        submit("perhaps", "pay", 16_000);
        reply(Relay.Outcome.RESET, false);
        assertConsistent();
        assertEquals(1, metrics.count(1, End.FAILED));
        submit("left", "bill", 16_000);
        machine.loop().execute(() -> dispatcher.withdraw("left"));
        advance(0);
        assertConsistent();
        assertEquals(1, metrics.count(0, End.WITHDRAWN));
        reply(Relay.Outcome.CANCELLED, false);
        assertConsistent();
        submit("late", "bill", 500);
        advance(700);
        assertConsistent();
        reply(Relay.Outcome.TIMEOUT, false);
        assertConsistent();
        assertEquals(2, metrics.count(0, End.FAILED) + metrics.count(0, End.REFUSED));
        for (int i = 0; i < 9; i++) {
            submit("many" + i, "bill", 16_000);
            assertConsistent();
        }
        assertTrue(metrics.count(0, End.REFUSED) > 0);
        assertEquals(0, replyCallbacks.size() - dispatcher.callsInFlight());
    }

    /** A fault that is planted: the journal has let a message go that loop and module hold. */
    @Test
    void differenceIsReported() throws Exception {
        submit("a", "bill", 16_000);
        assertConsistent();
        journal.closed(journal.owed().iterator().next());
        assertNotNull(dispatcher.findInconsistency());
        assertTrue(dispatcher.findInconsistency().contains("journal 0"), dispatcher.findInconsistency());
    }
}
