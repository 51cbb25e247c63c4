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

/**
 * The dispatcher, the control module and the journal hold the same open messages however a message ends, and
 * {@link EventDispatcher#findInconsistency} reports any difference.
 */
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
                        new Relay.MessageClass(
                                "bill",
                                2 * SECOND_US,
                                16 * SECOND_US,
                                1,
                                0.3,
                                Relay.Effect.KEYED,
                                false,
                                15 * SECOND_US,
                                false),
                        new Relay.MessageClass(
                                "pay", 2 * SECOND_US, 16 * SECOND_US, 1, 0.3, Relay.Effect.UNSAFE, false, 0, false)),
                List.of(),
                List.of(new Relay.Kind(true, 1)),
                new Relay.Allowed(8, 6, 12, false, true, 1, SECOND_US, 15 * SECOND_US, 3 * SECOND_US),
                new Relay.Rules(250_000, 2, 3 * SECOND_US, 0.2, 12 * SECOND_US, 0, 20_000),
                new Relay.Prices(0, 0, 0, 0, List.of()));
        journal = Journal.open(disk, 3_000_000, Store.Promise.PROCESS, 12);
        HostTransport transport = new HostTransport() {
            @Override
            public Call call(Host host, Message message, long timeoutUs, Consumer<CallReply> onReply) {
                replyCallbacks.add(onReply);
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
        dispatcher = new EventDispatcher(machine, 1, settings, hosts, transport, journal, metrics);
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
        String[] result = {"none"};
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
                                result[0] = "accepted";
                            }

                            @Override
                            public void duplicate() {
                                result[0] = "duplicate";
                            }

                            @Override
                            public void conflict() {
                                result[0] = "conflict";
                            }

                            @Override
                            public void refused(long retryAfter) {
                                result[0] = "refused";
                            }

                            @Override
                            public void failed() {
                                result[0] = "failed";
                            }
                        }));
        advance(0);
        return result[0];
    }

    private void reply(Relay.Outcome outcome, boolean isFinal) {
        Consumer<CallReply> callback = replyCallbacks.remove(0);
        machine.loop().execute(() -> callback.accept(new CallReply(outcome, isFinal, 0, 1_000, -1, -1)));
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
     * Seen in rb38060: without free descriptors, each commit failed at once, and the restaged records were committed
     * again without a delay, which kept one CPU core busy.
     */
    @Test
    void failedCommitIsRetriedWithADelay() {
        int[] attempts = {0};
        boolean[] diskFails = {false};
        boolean[] recordStored = {false};
        disk.fault((operation, name, bytes) -> {
            if (diskFails[0] && operation.equals("write") && ++attempts[0] < 1_000) {
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
                recordStored[0] = !journal.store().chains((byte) 99).isEmpty();
            }
        });
        submit("a", "bill", 16_000);
        diskFails[0] = true;
        reply(Relay.Outcome.OK, false);
        advance(1_000);
        assertTrue(attempts[0] >= 8 && attempts[0] <= 14, attempts[0] + " write attempts in one second");
        assertFalse(recordStored[0]);
        diskFails[0] = false;
        advance(100);
        assertTrue(recordStored[0], "committed once the disk works again, without another turn");
        assertConsistent();
    }

    /** Each kind of end is counted once and removes the message everywhere. */
    @Test
    void openMessagesAreConsistentAfterEachKindOfEnd() {
        assertEquals("accepted", submit("delivered", "bill", 16_000));
        assertConsistent();
        reply(Relay.Outcome.OK, false);
        assertConsistent();
        assertEquals(1, metrics.count(0, End.SERVED));
        submit("notSent", "bill", 16_000);
        reply(Relay.Outcome.NOT_SENT, true);
        assertConsistent();
        assertEquals(1, metrics.count(0, End.FAILED));
        submit("mayHaveRun", "pay", 16_000);
        reply(Relay.Outcome.RESET, false);
        assertConsistent();
        assertEquals(1, metrics.count(1, End.FAILED));
        submit("withdrawn", "bill", 16_000);
        machine.loop().execute(() -> dispatcher.withdraw("withdrawn"));
        advance(0);
        assertConsistent();
        assertEquals(1, metrics.count(0, End.WITHDRAWN));
        reply(Relay.Outcome.CANCELLED, false);
        assertConsistent();
        submit("expired", "bill", 500);
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

    /** Planted fault: the journal closes a message that is open in the dispatcher and the control module. */
    @Test
    void differenceIsReported() throws Exception {
        submit("a", "bill", 16_000);
        assertConsistent();
        journal.closed(journal.owed().iterator().next());
        assertNotNull(dispatcher.findInconsistency());
        assertTrue(dispatcher.findInconsistency().contains("journal 0"), dispatcher.findInconsistency());
    }
}
