package brambletray.platform.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What a member finds on its disk at its start.
 *
 * @param incarnation drawn at random when the disk was first used; 0 if the disk is empty
 * @param seeds the founders, if this member is one of them; else empty
 * @param promisedBallot highest ballot promised
 * @param view last view installed, or null
 * @param active whether all members were known to have that view on disk
 * @param log the log
 * @param retiredIncarnations incarnations whose disks are lost for good
 * @param knownAddresses control-plane addresses of members that were met
 */
public record DurableState(
        long incarnation,
        List<String> seeds,
        Ballot promisedBallot,
        View view,
        boolean active,
        ReplicatedLog log,
        List<Long> retiredIncarnations,
        List<String> knownAddresses) {
    /** Prefix of all keys of this package. */
    public static final String KEY_PREFIX = "view.";

    static final String INCARNATION_KEY = "view.life";
    static final String SEEDS_KEY = "view.seeds";
    static final String PROMISED_BALLOT_KEY = "view.promise";
    static final String VIEW_KEY = "view.view";
    static final String SNAPSHOT_KEY = "view.snap";
    static final String RETIRED_INCARNATIONS_KEY = "view.dead";
    static final String KNOWN_ADDRESSES_KEY = "view.known";
    static final String LOG_KEY_PREFIX = "view.log.";

    /** An empty disk. */
    public static DurableState empty() {
        return new DurableState(0, List.of(), Ballot.NONE, null, false, ReplicatedLog.empty(), List.of(), List.of());
    }

    /** Whether nothing was ever written to the disk. */
    boolean isEmpty() {
        return incarnation == 0;
    }

    /**
     * Rebuilds it from all keys that begin with {@link #KEY_PREFIX}. Throws {@link ReplicationException} when they
     * can't be read.
     */
    public static DurableState read(Map<String, byte[]> map) {
        if (!map.containsKey(INCARNATION_KEY)) {
            return empty();
        }
        long incarnation = ReplicationCodec.read(map.get(INCARNATION_KEY), in -> in.readLong());
        List<String> seeds = map.containsKey(SEEDS_KEY)
                ? ReplicationCodec.read(map.get(SEEDS_KEY), ReplicationCodec::strings)
                : List.of();
        Ballot promise = map.containsKey(PROMISED_BALLOT_KEY)
                ? ReplicationCodec.read(map.get(PROMISED_BALLOT_KEY), ReplicationCodec::ballot)
                : Ballot.NONE;
        boolean inForce = map.containsKey(VIEW_KEY) && ReplicationCodec.read(map.get(VIEW_KEY), in -> in.readBoolean());
        View view = map.containsKey(VIEW_KEY)
                ? ReplicationCodec.read(map.get(VIEW_KEY), in -> {
                    in.readBoolean();
                    return ReplicationCodec.view(in);
                })
                : null;
        List<Long> dead = map.containsKey(RETIRED_INCARNATIONS_KEY)
                ? ReplicationCodec.read(map.get(RETIRED_INCARNATIONS_KEY), ReplicationCodec::longs)
                : List.of();
        List<String> known = map.containsKey(KNOWN_ADDRESSES_KEY)
                ? ReplicationCodec.read(map.get(KNOWN_ADDRESSES_KEY), ReplicationCodec::strings)
                : List.of();
        return new DurableState(incarnation, seeds, promise, view, inForce, readLog(map), dead, known);
    }

    private static ReplicatedLog readLog(Map<String, byte[]> map) {
        TreeMap<String, byte[]> sorted = new TreeMap<>();
        map.forEach((key, value) -> {
            if (key.startsWith(LOG_KEY_PREFIX)) {
                sorted.put(key, value);
            }
        });
        List<LogEntry> entries = new ArrayList<>();
        for (byte[] value : sorted.values()) {
            entries.add(ReplicationCodec.read(value, ReplicationCodec::entry));
        }
        ReplicatedLog log = ReplicatedLog.empty();
        if (map.containsKey(SNAPSHOT_KEY)) {
            log = ReplicationCodec.read(
                    map.get(SNAPSHOT_KEY),
                    in -> new ReplicatedLog(
                            in.readLong(), ReplicationCodec.ballot(in), in.readNBytes(in.readInt()), List.of()));
        }
        for (LogEntry entry : entries) {
            log.append(entry);
        }
        return log;
    }

    static String logKey(long index) {
        String hex = Long.toHexString(index);
        return LOG_KEY_PREFIX + "0000000000000000".substring(hex.length()) + hex;
    }
}
