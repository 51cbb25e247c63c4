package brambletray.platform.distribution;

import brambletray.platform.configuration.ChangeHistory;
import brambletray.platform.configuration.ConfigurationDelta;
import java.util.Arrays;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The coordinator's side of configuration distribution. It answers each {@link DeltaRequest} with one {@link
 * DeltaChunk} of the delta from the edge's revision, or of the full configuration if that revision is no longer in the
 * history. It keeps no state per edge: a request states the edge's progress, so any coordinator can continue a
 * transfer. Edges that need the same delta share its compressed form. Pure; not thread-safe.
 */
public final class ConfigurationPublisher {
    /**
     * Limits of the cache of compressed deltas: their number, and their bytes in total. The least recently requested
     * are evicted first, but one always remains.
     */
    static final int MAX_CACHED_DELTAS = 256;

    static final int MAX_CACHED_BYTES = 8 << 20;
    /**
     * The cached full configuration is compressed anew once the delta since then exceeds this fraction of its size
     * (one eighth). Until then, edges that need it share a copy and fetch the delta on top, so that frequent changes do
     * not cause a new copy each.
     */
    private static final int REPACK_FRACTION = 8;

    private record PackedDelta(long transferId, long revision, byte[] bytes) {}

    private final ChangeHistory history;
    private final Map<Long, PackedDelta> cachedDeltas = new LinkedHashMap<>(16, 0.75f, true);
    /** For each requested revision, the transfer that leads from it to {@link #currentRevision}. */
    private final Map<Long, Long> transferByBase = new LinkedHashMap<>();

    private long currentRevision;
    private int cachedBytes;
    private PackedDelta fullDelta;

    /** Publishes the current configuration of {@code history}. */
    public ConfigurationPublisher(ChangeHistory history) {
        this.history = history;
    }

    /** The newest revision; 0: none. */
    public long revision() {
        return history.current().revision();
    }

    /** The next chunk for the edge, or null if it has the newest revision. */
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

    /** Total size of the cached deltas, bytes. */
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
