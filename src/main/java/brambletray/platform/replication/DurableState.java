package brambletray.platform.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What a member finds on its disk at the start.
 *
 * @param life    drawn when the disk was empty; 0 when it is empty now
 * @param seeds   list that the core is founded from, if this member was one of the first; else empty
 * @param promise highest ballot promised
 * @param view    last view kept, or null
 * @param inForce whether it was known to be in force
 * @param log     the order
 * @param dead    lives whose disks are proven lost
 * @param known   addresses of members met
 */
public record DurableState(
        long life,
        List<String> seeds,
        Ballot promise,
        View view,
        boolean inForce,
        ReplicatedLog log,
        List<Long> dead,
        List<String> known) {
    /** All keys of this plane begin so. */
    public static final String PREFIX = "view.";

    static final String LIFE = "view.life";
    static final String SEEDS = "view.seeds";
    static final String PROMISE = "view.promise";
    static final String VIEW = "view.view";
    static final String SNAP = "view.snap";
    static final String DEAD = "view.dead";
    static final String KNOWN = "view.known";
    static final String LOG = "view.log.";

    /** An empty disk. */
    public static DurableState none() {
        return new DurableState(0, List.of(), Ballot.NONE, null, false, ReplicatedLog.empty(), List.of(), List.of());
    }

    /**
     * Rebuilds it from all keys that begin with {@link #PREFIX}. Throws {@link ReplicationException} when they can't be
     * read.
     */
    public static DurableState read(Map<String, byte[]> map) {
        if (!map.containsKey(LIFE)) {
            return none();
        }
        long life = ReplicationCodec.read(map.get(LIFE), in -> in.readLong());
        List<String> seeds =
                map.containsKey(SEEDS) ? ReplicationCodec.read(map.get(SEEDS), ReplicationCodec::strings) : List.of();
        Ballot promise = map.containsKey(PROMISE)
                ? ReplicationCodec.read(map.get(PROMISE), ReplicationCodec::ballot)
                : Ballot.NONE;
        boolean inForce = map.containsKey(VIEW) && ReplicationCodec.read(map.get(VIEW), in -> in.readBoolean());
        View view = map.containsKey(VIEW)
                ? ReplicationCodec.read(map.get(VIEW), in -> {
                    in.readBoolean();
                    return ReplicationCodec.view(in);
                })
                : null;
        List<Long> dead =
                map.containsKey(DEAD) ? ReplicationCodec.read(map.get(DEAD), ReplicationCodec::longs) : List.of();
        List<String> known =
                map.containsKey(KNOWN) ? ReplicationCodec.read(map.get(KNOWN), ReplicationCodec::strings) : List.of();
        return new DurableState(life, seeds, promise, view, inForce, log(map), dead, known);
    }

    private static ReplicatedLog log(Map<String, byte[]> map) {
        TreeMap<String, byte[]> sorted = new TreeMap<>();
        map.forEach((key, value) -> {
            if (key.startsWith(LOG)) {
                sorted.put(key, value);
            }
        });
        List<LogEntry> entries = new ArrayList<>();
        for (byte[] value : sorted.values()) {
            entries.add(ReplicationCodec.read(value, ReplicationCodec::entry));
        }
        ReplicatedLog log = ReplicatedLog.empty();
        if (map.containsKey(SNAP)) {
            log = ReplicationCodec.read(
                    map.get(SNAP),
                    in -> new ReplicatedLog(
                            in.readLong(), ReplicationCodec.ballot(in), in.readNBytes(in.readInt()), List.of()));
        }
        for (LogEntry entry : entries) {
            log.append(entry);
        }
        return log;
    }

    static String key(long index) {
        String hex = Long.toHexString(index);
        return LOG + "0000000000000000".substring(hex.length()) + hex;
    }
}
