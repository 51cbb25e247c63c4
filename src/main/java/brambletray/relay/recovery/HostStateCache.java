package brambletray.relay.recovery;

import brambletray.common.time.BootTimestamp;
import java.util.HashMap;
import java.util.Map;

/**
 * What of the hosts is worth noting for the next life of a relay, and what that life believes of it. It is
 * told what the module knows; it reads no clock. A wait and a drain bind until they are known to be over; of
 * the rest it holds that old knowledge is worse than none, for it is learned anew within seconds.
 */
public final class HostStateCache {
    /** us; a shorter wait is over before another life can send. */
    static final long WAIT_LEAST = 300_000;
    /** us; a wait that ends later than noted by no more than this is the same one. */
    static final long WAIT_SAME = 20_000;
    /** Changes of a pace and of a limit that are worth a note, as parts of what is noted. */
    static final double PACE_MOVED = 0.25;

    static final double LIMIT_MOVED = 0.05;
    /** ms between two notes of one host, but for a longer wait, an outage, a drain. */
    static final long EVERY = 1_000;
    /** ms for which limits and paces are believed, and that a host fails or warms up. */
    static final long LIMIT_BELIEVED = 30_000;

    static final long HEALTH_BELIEVED = 60_000;
    /** Hosts of which something is noted at most. */
    public static final int MOST = 512;

    /**
     * One note.
     *
     * @param at when it was true
     * @param leftAt version of the list that told that the host leaves or is gone; {@link #IN_USE}: none did
     */
    public record Note(String host, BootTimestamp at, long leftAt, HostKnowledge known) {}

    public static final long IN_USE = -1;

    private final Map<String, Note> noted = new HashMap<>();

    /** A note that lasts from an earlier life. */
    public void found(Note note) {
        if (noted.size() < MOST) {
            noted.put(note.host(), note);
        }
    }

    /** The note to be made now of a host; null where what is noted will do. */
    public Note worth(BootTimestamp now, String host, long leftAt, HostKnowledge known) {
        Note last = noted.get(host);
        boolean worth = last == null
                ? (known.ofUse() || leftAt != IN_USE) && noted.size() < MOST
                : differs(last, now, leftAt, known);
        if (!worth) {
            return null;
        }
        Note note = new Note(host, now, leftAt, known);
        noted.put(host, note);
        return note;
    }

    private static boolean differs(Note last, BootTimestamp now, long leftAt, HostKnowledge known) {
        long passed = now.msSince(last.at);
        long waits = last.known.waitFor() - Math.max(0, passed) * 1_000;
        boolean longer = known.waitFor() >= WAIT_LEAST && known.waitFor() > waits + WAIT_SAME;
        boolean health = known.failing() != last.known.failing()
                || (known.warming() == HostKnowledge.WARM) != (last.known.warming() == HostKnowledge.WARM);
        if (longer || health || leftAt != last.leftAt) {
            return true;
        }
        boolean limits = known.limit() > 0
                && (passed > LIMIT_BELIEVED / 2
                        || moved(last.known.limit(), known.limit(), LIMIT_MOVED)
                        || moved(last.known.pace(), known.pace(), PACE_MOVED));
        return limits && (passed == BootTimestamp.UNKNOWN || passed >= EVERY);
    }

    private static boolean moved(double from, double to, double part) {
        return Math.abs(to - from) > part * Math.max(from, to);
    }

    /** What was noted of a host did not last, or it is not to be known any more. */
    public void forget(String host) {
        noted.remove(host);
    }

    /**
     * Whether a host that a list names ready is one that was told to be leaving later than that list.
     *
     * @param version of the list
     */
    public boolean leftSince(String host, long version) {
        Note note = noted.get(host);
        return note != null && note.leftAt != IN_USE && version < note.leftAt;
    }

    /**
     * What is still believed of a host, now.
     *
     * @param cold us that a host takes to warm up
     */
    public HostKnowledge believed(String host, BootTimestamp now, long cold) {
        Note note = noted.get(host);
        if (note == null) {
            return HostKnowledge.NOTHING;
        }
        HostKnowledge then = note.known;
        long passed = now.msSince(note.at);
        if (passed == BootTimestamp.UNKNOWN) {
            // The machine was started anew: a wait begins again, and what was cold is.
            return new HostKnowledge(then.waitFor(), then.failing(), Math.min(then.warming(), 0), 0, 0);
        }
        long warming = then.warming() == HostKnowledge.WARM ? HostKnowledge.WARM : then.warming() + passed * 1_000;
        boolean limits = then.limit() > 0 && passed <= LIMIT_BELIEVED;
        boolean failing = then.failing() && passed <= HEALTH_BELIEVED;
        return new HostKnowledge(
                Math.max(0, then.waitFor() - passed * 1_000),
                failing,
                warming < cold ? warming : HostKnowledge.WARM,
                limits ? then.limit() : 0,
                limits ? then.pace() : 0);
    }
}
