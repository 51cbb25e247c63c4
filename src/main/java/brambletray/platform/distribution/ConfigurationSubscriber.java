package brambletray.platform.distribution;

import brambletray.platform.configuration.Configuration;
import brambletray.platform.configuration.ConfigurationDelta;
import brambletray.platform.configuration.ConfigurationException;

/**
 * The edge's side of the distribution of configurations: it fetches what it lacks, chunk by chunk, at the pace of its
 * link. What has come of a transfer stays when the coordinator changes or the link ends, and the transfer goes on
 * from there. The revision never goes back. Pure; times are ms of a steady clock.
 */
public final class ConfigurationSubscriber {
    /** Chunks requested ahead, so that a link is never idle; more would only delay heartbeats and requests. */
    static final int MAX_CHUNKS_AHEAD = 2;
    /**
     * ms without a chunk after which it is requested again, doubled each time until one comes. After the end of a
     * link it is requested at once; this is for a coordinator that stayed silent as its lease was uncertain. What is
     * requested twice comes twice, on a link that may be full already.
     */
    static final int RETRY_MS = 500;

    static final int MAX_RETRY_MS = 4_000;

    /** What the subscriber wants done. */
    public interface Actions {
        /** To the coordinator; lost where there is none. */
        void sendRequest(DeltaRequest request);

        /**
         * Another configuration applies here; {@code bytes} on the wire, in {@code durationMs} from the first request
         * on.
         */
        void onConfiguration(Configuration configuration, int bytes, long durationMs);

        /** What was fetched does not lead to the coordinator's configuration. */
        void onRejected(ConfigurationException error);
    }

    private final Actions actions;
    private Configuration configuration = Configuration.NONE;
    private long newestRevision;
    private boolean needsFull;
    private boolean requestPending;
    private long requestedAtMs;
    private int retryMs = RETRY_MS;
    private long startedAtMs;
    /** The last transfer was rejected: nothing is requested before; ms. */
    private long noRequestBeforeMs = Long.MIN_VALUE;

    /** The transfer under way; 0: none has begun. */
    private long transferId;

    private long revision;
    private byte[] bytes;
    private int receivedBytes;
    /** Up to which offset chunks have been asked for. */
    private int requestedBytes;

    /** Begins without a configuration. */
    public ConfigurationSubscriber(Actions actions) {
        this.actions = actions;
    }

    /** The configuration that applies now. */
    public Configuration configuration() {
        return configuration;
    }

    /** Whether the last announcement spoke of nothing newer; false as well where it could not name a revision. */
    public boolean isNewest() {
        return newestRevision > 0 && configuration.revision() >= newestRevision;
    }

    /** The coordinator has announced the newest revision; 0: it cannot tell yet. */
    public void onNewestRevision(long next, long nowMs) {
        newestRevision = next;
        if (!requestPending && newestRevision > configuration.revision() && nowMs >= noRequestBeforeMs) {
            startedAtMs = nowMs;
            request(nowMs);
        }
    }

    /** A link to a coordinator is up: what was requested on the one before is lost. */
    public void onLinkUp(long nowMs) {
        retryMs = RETRY_MS;
        if (requestPending) {
            request(nowMs);
        }
    }

    /** When {@link #tick} has something to do; {@link Long#MAX_VALUE}: not before something else happens. */
    public long nextDueMs() {
        return requestPending ? requestedAtMs + retryMs : Long.MAX_VALUE;
    }

    /** To be called at {@link #nextDueMs}, or more often. */
    public void tick(long nowMs) {
        if (requestPending && nowMs - requestedAtMs >= retryMs) {
            retryMs = Math.min(MAX_RETRY_MS, 2 * retryMs);
            request(nowMs);
        }
    }

    private void request(long nowMs) {
        requestPending = true;
        requestedAtMs = nowMs;
        requestedBytes = receivedBytes + DeltaChunk.CHUNK_BYTES;
        actions.sendRequest(new DeltaRequest(configuration.revision(), transferId, receivedBytes, needsFull));
    }

    /** A chunk has come. */
    public void onChunk(DeltaChunk chunk, long nowMs) {
        if (chunk.revision() <= configuration.revision()
                || chunk.totalBytes() <= 0
                || chunk.totalBytes() > DeltaChunk.MAX_TOTAL_BYTES
                || chunk.offset() < 0
                || chunk.bytes().length == 0
                || chunk.bytes().length > chunk.totalBytes() - chunk.offset()) {
            return;
        }
        if (chunk.transferId() != transferId) {
            if (chunk.offset() != 0) {
                return;
            }
            // The coordinator does not have that transfer any more, or starts one.
            transferId = chunk.transferId();
            revision = chunk.revision();
            bytes = new byte[chunk.totalBytes()];
            receivedBytes = 0;
            requestedBytes = DeltaChunk.CHUNK_BYTES;
        }
        if (chunk.totalBytes() != bytes.length || chunk.offset() != receivedBytes) {
            return;
        }
        System.arraycopy(chunk.bytes(), 0, bytes, receivedBytes, chunk.bytes().length);
        receivedBytes += chunk.bytes().length;
        requestPending = true;
        requestedAtMs = nowMs;
        retryMs = RETRY_MS;
        if (receivedBytes == bytes.length) {
            complete(nowMs);
        } else {
            while (requestedBytes < bytes.length
                    && requestedBytes < receivedBytes + MAX_CHUNKS_AHEAD * DeltaChunk.CHUNK_BYTES) {
                actions.sendRequest(new DeltaRequest(configuration.revision(), transferId, requestedBytes, needsFull));
                requestedBytes += DeltaChunk.CHUNK_BYTES;
            }
        }
    }

    private void complete(long nowMs) {
        byte[] received = bytes;
        transferId = 0;
        bytes = null;
        receivedBytes = 0;
        requestPending = false;
        Configuration next;
        try {
            next = configuration.apply(ConfigurationDelta.fromCompressedBytes(received));
        } catch (ConfigurationException error) {
            // Where even the full configuration was rejected the next request waits, so that it is not fetched in a
            // loop.
            noRequestBeforeMs = needsFull ? nowMs + 2 * RETRY_MS : nowMs;
            needsFull = true;
            actions.onRejected(error);
            onNewestRevision(newestRevision, nowMs);
            return;
        }
        needsFull = false;
        configuration = next;
        actions.onConfiguration(configuration, received.length, nowMs - startedAtMs);
        startedAtMs = nowMs;
        if (newestRevision > configuration.revision()) {
            request(nowMs);
        } else {
            actions.sendRequest(new DeltaRequest(configuration.revision(), 0, 0, false));
        }
    }
}
