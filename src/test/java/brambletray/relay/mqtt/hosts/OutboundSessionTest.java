package brambletray.relay.mqtt.hosts;

import static org.junit.jupiter.api.Assertions.*;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * The client's half of a session against a server's half that is written from the specification (MQTT 5.0,
 * 4.3.3, method B): whatever breaks, no call acts twice, none is told as delivered that did not act, and none
 * acts on a connection after nobody waited for it any more.
 */
class OutboundSessionTest {
    /** A server that acts on a PUBLISH before its PUBREC. */
    private static final class Server {
        final Set<Integer> held = new HashSet<>();
        final Map<Object, Integer> acted = new HashMap<>();

        void publish(int packet, Object call) {
            if (held.add(packet)) {
                acted.merge(call, 1, Integer::sum);
            }
        }
    }

    /** A call; its fate as the client was told. */
    private static final class Call {
        String told;
        boolean mayRunLate;
    }

    @Test
    void whateverBreaksNothingActsTwiceAndNothingIsToldWrong() {
        int resolved = 0;
        int lostCalls = 0;
        for (long seed = 1; seed <= 3_000; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            OutboundSession<Call> session = new OutboundSession<>(true);
            Server server = new Server();
            List<Call> calls = new ArrayList<>();
            /** On the way: packets to the server, and answers to the client, of this connection. */
            List<Runnable> up = new ArrayList<>();
            List<Runnable> down = new ArrayList<>();
            boolean open = false;
            for (int step = 0; step < 120; step++) {
                int what = random.nextInt(12);
                if (!open) {
                    boolean anew = session.beginsAnew();
                    if (anew || random.nextInt(8) == 0) {
                        server.held.clear();
                        session.accepted(anew, false, 4).forEach(c -> c.told = "lost");
                    } else {
                        session.accepted(false, true, 4).forEach(c -> fail("the session was there"));
                    }
                    open = true;
                } else if (what < 4 && session.room() > 0 && !session.awaitsResumption()) {
                    Call call = new Call();
                    calls.add(call);
                    int packet = session.publish(call);
                    up.add(() -> arrive(session, server, down, packet, call));
                } else if (what < 7 && !up.isEmpty()) {
                    up.remove(0).run();
                } else if (what < 10 && !down.isEmpty()) {
                    down.remove(0).run();
                } else if (what == 10 && !calls.isEmpty() && random.nextInt(3) == 0) {
                    Call call = calls.get(random.nextInt(calls.size()));
                    if (call.told == null) {
                        call.told = "given up";
                        // Its packet id is the session's to know; the caller keeps it with the call.
                        for (int packet = 1; packet <= calls.size() + 8; packet++) {
                            session.abandoned(packet, call);
                        }
                    }
                } else if (what == 11 && random.nextInt(2) == 0) {
                    up.clear();
                    down.clear();
                    open = false;
                    assertEquals(List.of(), session.broken());
                    for (Call call : calls) {
                        call.mayRunLate = call.told == null;
                    }
                }
                if (open) {
                    for (OutboundSession.Resumed<Call> r : session.resume()) {
                        if (r.call() == null) {
                            assertTrue(session.owesRelease(r.packet()), "seed " + seed + ": nothing to release");
                            up.add(() -> server.held.remove(r.packet()));
                            up.add(() -> down.add(() -> session.completed(r.packet())));
                        } else {
                            assertNull(r.call().told, "seed " + seed + ": sent again, and nobody waits");
                            up.add(() -> arrive(session, server, down, r.packet(), r.call()));
                        }
                    }
                }
                for (Call call : calls) {
                    int acted = server.acted.getOrDefault(call, 0);
                    assertTrue(acted <= 1, "seed " + seed + ": acted twice");
                    assertFalse("delivered".equals(call.told) && acted == 0, "seed " + seed + ": never acted");
                }
            }
            resolved += (int) calls.stream()
                    .filter(c -> c.mayRunLate && "delivered".equals(c.told))
                    .count();
            lostCalls += (int) calls.stream().filter(c -> "lost".equals(c.told)).count();
        }
        assertTrue(resolved > 500, resolved + " cleared up");
        assertTrue(lostCalls > 100, lostCalls + " lost with the session");
    }

    private static void arrive(
            OutboundSession<Call> session, Server server, List<Runnable> down, int packet, Call call) {
        server.publish(packet, call);
        down.add(() -> {
            Call told = session.received(packet);
            if (told != null) {
                assertSame(call, told);
                told.told = "delivered";
            }
            if (session.owesRelease(packet)) {
                server.held.remove(packet);
                down.add(() -> session.completed(packet));
            }
        });
    }

    @Test
    void aSessionIsTakenUpOneByOneAndThenFaster() {
        OutboundSession<Integer> session = new OutboundSession<>(true);
        session.accepted(true, false, 100);
        List<Integer> packets = new ArrayList<>();
        for (int i = 0; i < 7; i++) {
            packets.add(session.publish(1_000 + i));
        }
        session.broken();
        session.accepted(false, true, 100);
        int known = 0;
        for (int expected : new int[] {1, 2, 4}) {
            List<OutboundSession.Resumed<Integer>> now = session.resume();
            assertEquals(expected, now.size());
            for (OutboundSession.Resumed<Integer> r : now) {
                assertEquals(packets.get(known), r.packet());
                assertEquals(1_000 + known++, r.call());
            }
            session.received(now.get(0).packet());
            for (int i = 1; i < now.size(); i++) {
                session.acknowledged(now.get(i).packet());
            }
        }
    }

    @Test
    void anIdThatIsOutIsNotUsedAgain() {
        OutboundSession<String> session = new OutboundSession<>(true);
        session.accepted(true, false, OutboundSession.IDS);
        for (int i = 1; i <= 70_000; i++) {
            int packet = session.publish("call");
            if (i == 1 || packet == 5) {
                continue;
            }
            assertNotEquals(1, packet);
            assertTrue(packet >= 1 && packet <= OutboundSession.IDS);
            session.acknowledged(packet);
        }
    }

    /** 4.4.0-1: a session is taken up with all that is in it, or not at all. */
    @Test
    void aSessionWithAPublishThatNobodyWaitsForIsDiscarded() {
        OutboundSession<String> session = new OutboundSession<>(true);
        session.accepted(true, false, 10);
        int a = session.publish("a");
        session.publish("b");
        session.broken();
        assertFalse(session.beginsAnew());
        session.abandoned(a, "a");
        assertTrue(session.beginsAnew());
        assertEquals(List.of("b"), session.accepted(true, false, 10));
    }

    /** Given up on while the session is being taken up: it is not sent again on this connection either. */
    @Test
    void whatIsGivenUpAsASessionIsTakenUpIsNotSent() {
        OutboundSession<String> session = new OutboundSession<>(true);
        session.accepted(true, false, 10);
        int a = session.publish("a");
        int b = session.publish("b");
        session.broken();
        session.accepted(false, true, 10);
        assertEquals(1, session.resume().size());
        session.abandoned(b, "b");
        session.received(a);
        assertEquals(List.of(), session.resume());
    }

    @Test
    void withACleanSessionABreakEndsAll() {
        OutboundSession<String> session = new OutboundSession<>(false);
        session.accepted(true, false, 10);
        session.publish("a");
        int b = session.publish("b");
        session.abandoned(b, "b");
        assertEquals(List.of("a"), session.broken());
        assertTrue(session.beginsAnew());
        assertTrue(session.isEmpty());
    }
}
