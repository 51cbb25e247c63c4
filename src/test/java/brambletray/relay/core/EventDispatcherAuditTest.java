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
    private static final long S = 1_000_000;
    private static final String LIST =
            "{\"seq\":1,\"whole\":true,\"hosts\":[{\"host\":\"s\",\"dial\":\"10.0.0.9:1\",\"site\":\"a\","
                    + "\"class\":\"m\",\"block\":7,\"health\":\"ready\",\"share\":50}]}";

    private final List<Consumer<CallReply>> out = new ArrayList<>();
    private final Simulation simulation = new Simulation(1, 1_900_000_000_000L);
    private final MessageMetrics figures = new MessageMetrics(List.of("bill", "pay"));
    private final MemoryDisk disk = new MemoryDisk();
    private Machine machine;
    private Journal journal;
    private EventDispatcher loop;

    @BeforeEach
    void begin() throws Exception {
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
                        new Relay.MessageClass("bill", 2 * S, 16 * S, 1, 0.3, Relay.Effect.KEYED, false, 15 * S, false),
                        new Relay.MessageClass("pay", 2 * S, 16 * S, 1, 0.3, Relay.Effect.UNSAFE, false, 0, false)),
                List.of(),
                List.of(new Relay.Kind(true, 1)),
                new Relay.Allowed(8, 6, 12, false, true, 1, S, 15 * S, 3 * S),
                new Relay.Rules(250_000, 2, 3 * S, 0.2, 12 * S, 0, 20_000),
                new Relay.Prices(0, 0, 0, 0, List.of()));
        journal = Journal.open(disk, 3_000_000, Store.Promise.PROCESS, 12);
        HostTransport calls = new HostTransport() {
            @Override
            public Call call(Host host, Message message, long patience, Consumer<CallReply> whenEnded) {
                out.add(whenEnded);
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
                loop.onNoticeAcknowledged(entry);
            }

            @Override
            public boolean hasUnacknowledgedNotices() {
                return false;
            }

            @Override
            public void onAgentMoved(InetSocketAddress agent) {}
        };
        loop = new EventDispatcher(machine, 1, settings, hosts, calls, journal, figures);
        machine.loop().execute(() -> {
            try {
                loop.start(platform, hosts.update(Wire.decode(LIST)));
            } catch (Wire.Malformed e) {
                throw new IllegalStateException(e);
            }
        });
        pass(0);
    }

    private void pass(long millis) {
        simulation.runUntil(simulation.now() + millis * 1_000_000);
    }

    private String hand(String id, String messageClass, long millis) {
        String[] met = {"nothing"};
        machine.loop()
                .execute(() -> loop.accept(
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
        pass(0);
        return met[0];
    }

    private void reply(Relay.Outcome outcome, boolean over) {
        Consumer<CallReply> next = out.remove(0);
        machine.loop().execute(() -> next.accept(new CallReply(outcome, over, 0, 1_000, -1, -1)));
        pass(0);
    }

    private void assertAgreed() {
        assertNull(loop.findInconsistency());
        long ended = 0;
        for (End end : End.values()) {
            ended += figures.count(0, end) + figures.count(1, end);
        }
        assertEquals(journal.owed().size(), figures.inFlight());
        assertTrue(ended >= 0);
    }

    /**
     * rb38060: out of descriptors, the store refused each batch at once, and what was staged anew was tried
     * again without a pause: a core spent on nothing.
     */
    @Test
    void whatIsStagedAnewAfterABatchThatFailedWaits() {
        int[] tries = {0};
        boolean[] fails = {false};
        boolean[] noted = {false};
        disk.fault((operation, name, bytes) -> {
            if (fails[0] && operation.equals("write") && ++tries[0] < 1_000) {
                throw new IOException("Too many open files");
            }
        });
        loop.completionListener(new CompletionListener() {
            @Override
            public void onCompleted(Message message, End end, long retryAfter) {
                journal.store().put((byte) 99, 1, new byte[] {1});
                loop.onStaged();
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
        hand("a", "bill", 16_000);
        fails[0] = true;
        reply(Relay.Outcome.OK, false);
        pass(1_000);
        assertTrue(tries[0] >= 8 && tries[0] <= 14, tries[0] + " tries in a second");
        assertFalse(noted[0]);
        fails[0] = false;
        pass(100);
        assertTrue(noted[0], "written once it can be, with no turn in between");
        assertAgreed();
    }

    /** Each way in which a message ends: counted once, and held nowhere any more. */
    @Test
    void allThreeAgreeOverEachEndThatThereIs() {
        assertEquals("taken", hand("delivered", "bill", 16_000));
        assertAgreed();
        reply(Relay.Outcome.OK, false);
        assertAgreed();
        assertEquals(1, figures.count(0, End.SERVED));
        hand("over", "bill", 16_000);
        reply(Relay.Outcome.NOT_SENT, true);
        assertAgreed();
        assertEquals(1, figures.count(0, End.FAILED));
        hand("perhaps", "pay", 16_000);
        reply(Relay.Outcome.RESET, false);
        assertAgreed();
        assertEquals(1, figures.count(1, End.FAILED));
        hand("left", "bill", 16_000);
        machine.loop().execute(() -> loop.withdraw("left"));
        pass(0);
        assertAgreed();
        assertEquals(1, figures.count(0, End.WITHDRAWN));
        reply(Relay.Outcome.CANCELLED, false);
        assertAgreed();
        hand("late", "bill", 500);
        pass(700);
        assertAgreed();
        reply(Relay.Outcome.TIMEOUT, false);
        assertAgreed();
        assertEquals(2, figures.count(0, End.FAILED) + figures.count(0, End.REFUSED));
        for (int i = 0; i < 9; i++) {
            hand("many" + i, "bill", 16_000);
            assertAgreed();
        }
        assertTrue(figures.count(0, End.REFUSED) > 0);
        assertEquals(0, out.size() - loop.callsInFlight());
    }

    /** A fault that is planted: the journal has let a message go that loop and module hold. */
    @Test
    void whereTheyDoNotAgreeThatIsSeen() throws Exception {
        hand("a", "bill", 16_000);
        assertAgreed();
        journal.closed(journal.owed().iterator().next());
        assertNotNull(loop.findInconsistency());
        assertTrue(loop.findInconsistency().contains("journal 0"), loop.findInconsistency());
    }
}
