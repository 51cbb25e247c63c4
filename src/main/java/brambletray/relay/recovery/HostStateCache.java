package brambletray.relay.recovery;

import brambletray.common.time.BootTimestamp;
import java.util.HashMap;
import java.util.Map;

/**
 * What of the hosts is worth recording for the next incarnation of a relay, and what that incarnation believes of it.
 * It is given what the module knows; it reads no clock. A retry-after time and a drain bind until they are known to be
 * over; of the rest it holds that old knowledge is worse than none, for it is learned anew within seconds.
 */
public final class HostStateCache {
    /** us; a shorter retry-after time is over before another incarnation can send. */
    static final long MIN_RETRY_AFTER_US = 300_000;
    /** us; a retry-after time that ends later than recorded by no more than this is the same one. */
    static final long RETRY_AFTER_TOLERANCE_US = 20_000;
    /** Changes of a pace and of a limit that are worth a record, as parts of what is recorded. */
    static final double PACE_CHANGE = 0.25;

    static final double LIMIT_CHANGE = 0.05;
    /** ms between two entries of one host, but for a longer retry-after time, an outage, a drain. */
    static final long MIN_INTERVAL_MS = 1_000;
    /** ms for which limits and paces are believed, and that a host fails or warms up. */
    static final long LIMIT_VALIDITY_MS = 30_000;

    static final long HEALTH_VALIDITY_MS = 60_000;
    /** Hosts of which something is recorded at most. */
    public static final int MAX_HOSTS = 512;

    /**
     * What is recorded of one host.
     *
     * @param recordedAt when it was true
     * @param leftInVersion version of the list that reported that the host leaves or is gone; {@link #IN_USE}: none did
     */
    public record Entry(String host, BootTimestamp recordedAt, long leftInVersion, HostKnowledge knowledge) {}

    public static final long IN_USE = -1;

    private final Map<String, Entry> entries = new HashMap<>();

    /** Takes an entry that an earlier incarnation has recorded. */
    public void restore(Entry entry) {
        if (entries.size() < MAX_HOSTS) {
            entries.put(entry.host(), entry);
        }
    }

    /** The entry to be recorded now of a host; null where what is recorded will do. */
    public Entry nextEntry(BootTimestamp now, String host, long leftAt, HostKnowledge known) {
        Entry last = entries.get(host);
        boolean isWorthRecording = last == null
                ? (known.isUseful() || leftAt != IN_USE) && entries.size() < MAX_HOSTS
                : differs(last, now, leftAt, known);
        if (!isWorthRecording) {
            return null;
        }
        Entry entry = new Entry(host, now, leftAt, known);
        entries.put(host, entry);
        return entry;
    }

    private static boolean differs(Entry last, BootTimestamp now, long leftAt, HostKnowledge known) {
        long passed = now.msSince(last.recordedAt);
        long waits = last.knowledge.retryAfterUs() - Math.max(0, passed) * 1_000;
        boolean longer =
                known.retryAfterUs() >= MIN_RETRY_AFTER_US && known.retryAfterUs() > waits + RETRY_AFTER_TOLERANCE_US;
        boolean health = known.isUnhealthy() != last.knowledge.isUnhealthy()
                || (known.slowStartAgeUs() == HostKnowledge.NOT_IN_SLOW_START)
                        != (last.knowledge.slowStartAgeUs() == HostKnowledge.NOT_IN_SLOW_START);
        if (longer || health || leftAt != last.leftInVersion) {
            return true;
        }
        boolean limits = known.limit() > 0
                && (passed > LIMIT_VALIDITY_MS / 2
                        || hasChanged(last.knowledge.limit(), known.limit(), LIMIT_CHANGE)
                        || hasChanged(last.knowledge.pace(), known.pace(), PACE_CHANGE));
        return limits && (passed == BootTimestamp.UNKNOWN || passed >= MIN_INTERVAL_MS);
    }

    private static boolean hasChanged(double from, double to, double part) {
        return Math.abs(to - from) > part * Math.max(from, to);
    }

    /** What was recorded of a host did not last, or it is not to be known any more. */
    public void forget(String host) {
        entries.remove(host);
    }

    /**
     * Whether a host that a list names ready is one that was reported to be leaving later than that list.
     *
     * @param version of the list
     */
    public boolean hasLeftSince(String host, long version) {
        Entry entry = entries.get(host);
        return entry != null && entry.leftInVersion != IN_USE && version < entry.leftInVersion;
    }

    /**
     * What is still believed of a host, now.
     *
     * @param slowStartUs us that a host needs for slow start
     */
    public HostKnowledge stillValid(String host, BootTimestamp now, long slowStartUs) {
        Entry entry = entries.get(host);
        if (entry == null) {
            return HostKnowledge.NONE;
        }
        HostKnowledge recorded = entry.knowledge;
        long passed = now.msSince(entry.recordedAt);
        if (passed == BootTimestamp.UNKNOWN) {
            // The machine was started anew: a retry-after time begins again, and so does slow start.
            return new HostKnowledge(
                    recorded.retryAfterUs(), recorded.isUnhealthy(), Math.min(recorded.slowStartAgeUs(), 0), 0, 0);
        }
        long warming = recorded.slowStartAgeUs() == HostKnowledge.NOT_IN_SLOW_START
                ? HostKnowledge.NOT_IN_SLOW_START
                : recorded.slowStartAgeUs() + passed * 1_000;
        boolean limits = recorded.limit() > 0 && passed <= LIMIT_VALIDITY_MS;
        boolean failing = recorded.isUnhealthy() && passed <= HEALTH_VALIDITY_MS;
        return new HostKnowledge(
                Math.max(0, recorded.retryAfterUs() - passed * 1_000),
                failing,
                warming < slowStartUs ? warming : HostKnowledge.NOT_IN_SLOW_START,
                limits ? recorded.limit() : 0,
                limits ? recorded.pace() : 0);
    }
}
