package brambletray.platform.distribution;

import brambletray.platform.configuration.ChangeHistory;
import brambletray.platform.configuration.ConfigurationDelta;
import java.util.Arrays;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The helm's side of how configurations reach edges: it answers each {@link DeltaRequest} with one {@link DeltaChunk},
 * of the
 * difference from what the edge has, or of a whole one where that isn't remembered. It keeps nothing about edges: who
 * asks says where it is, so a transfer goes on at any helm. Packed bodies are shared by all who need the same. Pure;
 * for one thread.
 */
public final class ConfigurationPublisher {
    /**
     * Bodies that are kept, and bytes of them together; the least lately asked for go first, but never the last one.
     */
    static final int BODIES = 256;

    static final int BYTES = 8 << 20;
    /**
     * A whole one is packed anew when what has changed since is more than this part of it: under many changes, those
     * who need the whole share one, and take what has changed since on top.
     */
    private static final int PART = 8;

    private record Body(long id, long revision, byte[] packed) {}

    private final ChangeHistory history;
    private final Map<Long, Body> bodies = new LinkedHashMap<>(16, 0.75f, true);
    /** What leads from each asked revision to {@link #current}. */
    private final Map<Long, Long> bases = new LinkedHashMap<>();

    private long current;
    private int bytes;
    private Body whole;

    public ConfigurationPublisher(ChangeHistory history) {
        this.history = history;
    }

    /** The newest revision, 0: none. */
    public long revision() {
        return history.current().revision();
    }

    /** A part of what the asker lacks, or null: it has the newest. */
    public DeltaChunk answer(DeltaRequest fetch, long term) {
        Body body = fetch.body() == 0 ? null : bodies.get(fetch.body());
        if (body == null || body.revision <= fetch.revision()) {
            if (fetch.revision() >= revision()) {
                return null;
            }
            body = bodyFor(fetch);
        }
        int offset = body.id == fetch.body() && fetch.offset() >= 0 && fetch.offset() < body.packed.length
                ? fetch.offset()
                : 0;
        int end = Math.min(body.packed.length, offset + DeltaChunk.BYTES);
        return new DeltaChunk(
                term, body.revision, body.id, body.packed.length, offset, Arrays.copyOfRange(body.packed, offset, end));
    }

    private Body bodyFor(DeltaRequest fetch) {
        if (current != revision()) {
            current = revision();
            bases.clear();
        }
        if (fetch.whole()) {
            return whole(fetch.revision());
        }
        Long known = bases.get(fetch.revision());
        Body body = known == null ? null : bodies.get(known);
        if (body == null) {
            ConfigurationDelta delta = history.since(fetch.revision());
            body = delta == null ? whole(fetch.revision()) : keep(pack(delta));
            if (bases.size() < BODIES) {
                bases.put(fetch.revision(), body.id);
            }
        }
        return body;
    }

    private Body whole(long above) {
        if (whole != null && whole.revision > above) {
            ConfigurationDelta since = whole.revision == revision() ? null : history.since(whole.revision);
            if (whole.revision == revision() || since != null && since.packed().length <= whole.packed.length / PART) {
                return keep(whole);
            }
        }
        whole = pack(history.whole());
        return keep(whole);
    }

    /** Bytes of packed bodies. */
    int kept() {
        return bytes;
    }

    private static Body pack(ConfigurationDelta delta) {
        byte[] packed = delta.packed();
        return new Body(ConfigurationDelta.id(packed), delta.revision(), packed);
    }

    private Body keep(Body body) {
        if (bodies.put(body.id, body) == null) {
            bytes += body.packed.length;
        }
        for (Iterator<Body> each = bodies.values().iterator();
                bodies.size() > 1 && (bodies.size() > BODIES || bytes > BYTES); ) {
            bytes -= each.next().packed.length;
            each.remove();
        }
        return body;
    }
}
