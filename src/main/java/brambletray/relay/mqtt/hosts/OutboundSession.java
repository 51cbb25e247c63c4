package brambletray.relay.mqtt.hosts;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The client's half of one MQTT session: which packet ids are out, how far each has come, and what a new
 * connection takes up again (MQTT 5.0, sections 4.1, 4.3 and 4.4). Free of I/O and of time.
 *
 * <p>A PUBLISH that nobody waits for any more is never sent again: its message has had its end, and what
 * arrives then would be an effect after it. A session that holds one is discarded with the next connection.
 *
 * @param <C> a call; compared by identity
 */
final class OutboundSession<C> {
    static final int IDS = 65_535;

    /** How far one packet id has come. */
    private sealed interface Flight permits Published, Released {}

    /** A PUBLISH without its acknowledgement; {@code call} null once nobody waits for it. */
    private record Published<C>(C call, boolean onWire) implements Flight {}

    /** A PUBREC came: the partner has it, and its PUBCOMP is owed to us. */
    private record Released(boolean onWire) implements Flight {}

    /** What a connection that takes the session up sends: a PUBREL, or the PUBLISH of a call again. */
    record Resumed<C>(int packet, C call) {}

    private final boolean kept;
    private final Map<Integer, Flight> flights = new LinkedHashMap<>();
    private int last;
    private int receiveMaximum = IDS;
    /** How many PUBLISHes may be under way while a session is taken up: a partner just back is spared. */
    private int window = IDS;

    private boolean discard = true;

    /** {@code kept}: the session outlives its connection (QoS 2). */
    OutboundSession(boolean kept) {
        this.kept = kept;
    }

    /** How many more PUBLISHes may go out now. */
    int room() {
        return Math.min(receiveMaximum - flights.size(), window - underWay());
    }

    private int underWay() {
        if (window == IDS) {
            return 0;
        }
        return (int) flights.values().stream()
                .filter(f -> f instanceof Published<?> p && p.onWire)
                .count();
    }

    boolean isEmpty() {
        return flights.isEmpty();
    }

    /** True while a call's fate hangs on the session being taken up. */
    boolean awaitsResumption() {
        return flights.values().stream().anyMatch(f -> f instanceof Published<?> p && !p.onWire && p.call != null);
    }

    /** A packet id for a call whose PUBLISH goes out now. Only with room. */
    int publish(C call) {
        do {
            last = last >= IDS ? 1 : last + 1;
        } while (flights.containsKey(last));
        flights.put(last, new Published<>(call, true));
        return last;
    }

    /** A PUBACK, or a PUBREC that refuses: the id is free. Its call, or null where nobody waits. */
    C acknowledged(int packet) {
        if (!(flights.get(packet) instanceof Published<?> p)) {
            return null;
        }
        flights.remove(packet);
        grow();
        return call(p);
    }

    /**
     * A PUBREC that accepts. Its call, or null where nobody waits, for one already told, or for an id that is
     * not out; see {@link #owesRelease}.
     */
    C received(int packet) {
        if (!(flights.get(packet) instanceof Published<?> p)) {
            return null;
        }
        // To the end of the order: PUBRELs go in the order of their PUBRECs (4.6.0-4).
        flights.remove(packet);
        flights.put(packet, new Released(true));
        grow();
        return call(p);
    }

    private void grow() {
        window = window >= IDS / 2 ? IDS : window * 2;
    }

    /** True when a PUBREC of this id is to be answered as known; else the id is not found. */
    boolean owesRelease(int packet) {
        return flights.get(packet) instanceof Released;
    }

    /** A PUBCOMP, whatever its reason. */
    void completed(int packet) {
        if (flights.get(packet) instanceof Released) {
            flights.remove(packet);
        }
    }

    /** Nobody waits for a call any more; what of it is out under this id stays out. */
    void abandoned(int packet, C call) {
        if (flights.get(packet) instanceof Published<?> p && p.call == call) {
            flights.put(packet, new Published<C>(null, p.onWire));
        }
    }

    /** True while somebody waits for a call that is out. */
    boolean isAwaited() {
        return flights.values().stream().anyMatch(f -> f instanceof Published<?> p && p.call != null);
    }

    /** The connection has ended. The calls of which nothing more can be learnt. */
    List<C> broken() {
        flights.replaceAll(
                (packet, f) -> f instanceof Published<?> p ? new Published<>(call(p), false) : new Released(false));
        return kept ? List.of() : drop();
    }

    /** True when the next connection has to begin a session of its own. */
    boolean beginsAnew() {
        return !kept
                || discard
                || flights.values().stream().anyMatch(f -> f instanceof Published<?> p && p.call == null && !p.onWire);
    }

    /**
     * A connection is accepted. {@code anew}: as it was asked for; {@code present}: the partner still has the
     * session. The calls that can't be cleared up, for their session is gone: they may have run.
     */
    List<C> accepted(boolean anew, boolean present, int receiveMaximum) {
        this.receiveMaximum = Math.max(1, receiveMaximum);
        List<C> lost = present && !anew ? List.of() : drop();
        window = flights.values().stream().anyMatch(f -> f instanceof Published<?>) ? 1 : IDS;
        discard = false;
        return lost;
    }

    /** Takes up what the former connection left, as much as the window allows; empty when all is. */
    List<Resumed<C>> resume() {
        List<Resumed<C>> now = new ArrayList<>();
        int under = underWay();
        for (Map.Entry<Integer, Flight> e : flights.entrySet()) {
            if (e.getValue() instanceof Released r && !r.onWire) {
                now.add(new Resumed<>(e.getKey(), null));
                e.setValue(new Released(true));
            } else if (e.getValue() instanceof Published<?> p && !p.onWire && p.call != null && under < window) {
                under++;
                now.add(new Resumed<>(e.getKey(), call(p)));
                e.setValue(new Published<>(p.call, true));
            }
        }
        return now;
    }

    /**
     * Gives up on taking up what is not on the wire of this connection: those calls. Their ids are never used
     * again in this session.
     */
    List<C> giveUpResuming() {
        List<C> lost = new ArrayList<>();
        flights.replaceAll((packet, f) -> {
            if (f instanceof Published<?> p && !p.onWire && p.call != null) {
                lost.add(call(p));
                return new Published<C>(null, false);
            }
            return f;
        });
        return lost;
    }

    /** Forgets the session; the calls that waited. */
    private List<C> drop() {
        List<C> lost = calls(flights.values());
        flights.clear();
        discard = true;
        return lost;
    }

    private List<C> calls(Collection<Flight> of) {
        List<C> calls = new ArrayList<>();
        for (Flight f : of) {
            if (f instanceof Published<?> p && p.call != null) {
                calls.add(call(p));
            }
        }
        return calls;
    }

    @SuppressWarnings("unchecked")
    private C call(Published<?> p) {
        return (C) p.call;
    }
}
