package brambletray.platform.distribution;

import brambletray.platform.configuration.ChangeHistory;
import brambletray.platform.configuration.ConfigurationDelta;
import java.util.Arrays;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The coordinator's side of the distribution of configurations: it answers each {@link DeltaRequest} with one {@link
 * DeltaChunk}, of the delta from what the edge has, or of the full configuration where that revision is not
 * remembered. It has no state for each edge: a request says how far the edge is, so a transfer goes on at any
 * coordinator. Packed deltas are shared by all edges that need the same. Pure; for one thread.
 */
public final class ConfigurationPublisher {
    /**
     * Packed deltas that are cached, and bytes of them together; the least recently requested go first, but never the
     * last one.
     */
    static final int MAX_CACHED_DELTAS = 256;

    static final int MAX_CACHED_BYTES = 8 << 20;
    /**
     * The full configuration is packed again when the delta since is more than this part of it: under many changes,
     * edges that need the full one share a copy, and take the delta since on top.
     */
    private static final int REPACK_FRACTION = 8;

    private record PackedDelta(long transferId, long revision, byte[] bytes) {}

    private final ChangeHistory history;
    private final Map<Long, PackedDelta> cachedDeltas = new LinkedHashMap<>(16, 0.75f, true);
    /** What leads from each asked revision to {@link #currentRevision}. */
    private final Map<Long, Long> transferByBase = new LinkedHashMap<>();

    private long currentRevision;
    private int cachedBytes;
    private PackedDelta fullDelta;

    /** Publishes the current configuration of this history. */
    public ConfigurationPublisher(ChangeHistory history) {
        this.history = history;
    }

    /** The newest revision, 0 for none. */
    public long revision() {
        return history.current().revision();
    }

    /** A chunk of what the edge lacks, or null if it has the newest revision. */
    public DeltaChunk nextChunk(DeltaRequest request, long term) {
        PackedDelta delta = request.transferId() == 0 ? null : cachedDeltas.get(request.transferId());
        if (delta == null || delta.revision <= request.revision()) {
            if (request.revision() >= revision()) {
                return null;
            }
            delta = deltaFor(request);
        }
        int offset = delta.transferId == request.transferId()
                        && request.offset() >= 0
                        && request.offset() < delta.bytes.length
                ? request.offset()
                : 0;
        int end = Math.min(delta.bytes.length, offset + DeltaChunk.CHUNK_BYTES);
        return new DeltaChunk(
                term,
                delta.revision,
                delta.transferId,
                delta.bytes.length,
                offset,
                Arrays.copyOfRange(delta.bytes, offset, end));
    }

    private PackedDelta deltaFor(DeltaRequest request) {
        if (currentRevision != revision()) {
            currentRevision = revision();
            transferByBase.clear();
        }
        if (request.full()) {
            return fullDeltaAbove(request.revision());
        }
        Long transferId = transferByBase.get(request.revision());
        PackedDelta delta = transferId == null ? null : cachedDeltas.get(transferId);
        if (delta == null) {
            ConfigurationDelta difference = history.deltaSince(request.revision());
            delta = difference == null ? fullDeltaAbove(request.revision()) : cache(pack(difference));
            if (transferByBase.size() < MAX_CACHED_DELTAS) {
                transferByBase.put(request.revision(), delta.transferId);
            }
        }
        return delta;
    }

    private PackedDelta fullDeltaAbove(long minRevision) {
        if (fullDelta != null && fullDelta.revision > minRevision) {
            ConfigurationDelta difference =
                    fullDelta.revision == revision() ? null : history.deltaSince(fullDelta.revision);
            if (fullDelta.revision == revision()
                    || difference != null
                            && difference.toCompressedBytes().length <= fullDelta.bytes.length / REPACK_FRACTION) {
                return cache(fullDelta);
            }
        }
        fullDelta = pack(history.fullDelta());
        return cache(fullDelta);
    }

    /** Bytes of cached deltas. */
    int cachedBytes() {
        return cachedBytes;
    }

    private static PackedDelta pack(ConfigurationDelta source) {
        byte[] packed = source.toCompressedBytes();
        return new PackedDelta(ConfigurationDelta.transferId(packed), source.revision(), packed);
    }

    private PackedDelta cache(PackedDelta delta) {
        if (cachedDeltas.put(delta.transferId, delta) == null) {
            cachedBytes += delta.bytes.length;
        }
        for (Iterator<PackedDelta> iterator = cachedDeltas.values().iterator();
                cachedDeltas.size() > 1
                        && (cachedDeltas.size() > MAX_CACHED_DELTAS || cachedBytes > MAX_CACHED_BYTES); ) {
            cachedBytes -= iterator.next().bytes.length;
            iterator.remove();
        }
        return delta;
    }
}
