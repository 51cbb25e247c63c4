package brambletray.platform.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The state that a member reads from its disk on start-up.
 *
 * @param incarnation random number, drawn when the disk was first used; 0 if the disk is empty
 * @param seeds addresses of the founders if this member is one of them, otherwise empty
 * @param promisedBallot highest ballot that this member has promised
 * @param view last installed view, or null
 * @param active whether all members were known to have that view on disk
 * @param log the replicated log
 * @param retiredIncarnations incarnations whose disks are permanently lost
 * @param knownAddresses control-plane addresses of known members
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
    /** Prefix of all keys that this package writes to disk. */
    public static final String KEY_PREFIX = "view.";

    static final String INCARNATION_KEY = "view.life";
    static final String SEEDS_KEY = "view.seeds";
    static final String PROMISED_BALLOT_KEY = "view.promise";
    static final String VIEW_KEY = "view.view";
    static final String SNAPSHOT_KEY = "view.snap";
    static final String RETIRED_INCARNATIONS_KEY = "view.dead";
    static final String KNOWN_ADDRESSES_KEY = "view.known";
    static final String LOG_KEY_PREFIX = "view.log.";

    /** State of an empty disk. */
    public static DurableState empty() {
        return new DurableState(0, List.of(), Ballot.NONE, null, false, ReplicatedLog.empty(), List.of(), List.of());
    }

    /** Whether the disk has never been written to. */
    boolean isEmpty() {
        return incarnation == 0;
    }

    /**
     * Decodes the state from all keys that begin with {@link #KEY_PREFIX}.
     *
     * @throws ReplicationException if a value cannot be decoded
     */
    public static DurableState read(Map<String, byte[]> values) {
        if (!values.containsKey(INCARNATION_KEY)) {
            return empty();
        }
        long incarnation = ReplicationCodec.read(values.get(INCARNATION_KEY), in -> in.readLong());
        List<String> seeds = values.containsKey(SEEDS_KEY)
                ? ReplicationCodec.read(values.get(SEEDS_KEY), ReplicationCodec::strings)
                : List.of();
        Ballot promisedBallot = values.containsKey(PROMISED_BALLOT_KEY)
                ? ReplicationCodec.read(values.get(PROMISED_BALLOT_KEY), ReplicationCodec::ballot)
                : Ballot.NONE;
        boolean active =
                values.containsKey(VIEW_KEY) && ReplicationCodec.read(values.get(VIEW_KEY), in -> in.readBoolean());
        View view = values.containsKey(VIEW_KEY)
                ? ReplicationCodec.read(values.get(VIEW_KEY), in -> {
                    in.readBoolean();
                    return ReplicationCodec.view(in);
                })
                : null;
        List<Long> retiredIncarnations = values.containsKey(RETIRED_INCARNATIONS_KEY)
                ? ReplicationCodec.read(values.get(RETIRED_INCARNATIONS_KEY), ReplicationCodec::longs)
                : List.of();
        List<String> knownAddresses = values.containsKey(KNOWN_ADDRESSES_KEY)
                ? ReplicationCodec.read(values.get(KNOWN_ADDRESSES_KEY), ReplicationCodec::strings)
                : List.of();
        return new DurableState(
                incarnation, seeds, promisedBallot, view, active, readLog(values), retiredIncarnations, knownAddresses);
    }

    private static ReplicatedLog readLog(Map<String, byte[]> values) {
        TreeMap<String, byte[]> sorted = new TreeMap<>();
        values.forEach((key, value) -> {
            if (key.startsWith(LOG_KEY_PREFIX)) {
                sorted.put(key, value);
            }
        });
        List<LogEntry> entries = new ArrayList<>();
        for (byte[] value : sorted.values()) {
            entries.add(ReplicationCodec.read(value, ReplicationCodec::entry));
        }
        ReplicatedLog log = ReplicatedLog.empty();
        if (values.containsKey(SNAPSHOT_KEY)) {
            log = ReplicationCodec.read(
                    values.get(SNAPSHOT_KEY),
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
