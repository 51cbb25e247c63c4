package brambletray.platform.distribution;

import brambletray.platform.configuration.Configuration;
import brambletray.platform.configuration.ConfigurationDelta;
import brambletray.platform.configuration.ConfigurationException;

/**
 * The edge's side of configuration distribution: it fetches newer configurations chunk by chunk, at the pace of its
 * link. When the coordinator changes or the link ends, a transfer keeps the chunks received and resumes after them.
 * The revision never decreases. Pure; times are ms of a monotonic clock.
 */
public final class ConfigurationSubscriber {
    /** Chunks requested ahead to keep the link busy; more would only delay heartbeats and requests. */
    static final int MAX_CHUNKS_AHEAD = 2;
    /**
     * Time without a chunk after which it is requested again, ms; doubled after each retry until a chunk arrives. This
     * covers a coordinator that does not answer while its lease is uncertain; on a new link the chunk is requested at
     * once. The delay is doubled because each repeated request is answered, on a link that may already be saturated.
     */
    static final int RETRY_MS = 500;

    static final int MAX_RETRY_MS = 4_000;

    /** Effects that the subscriber asks its caller to carry out. */
    public interface Actions {
        /** Sends a request to the coordinator; dropped if there is none. */
        void sendRequest(DeltaRequest request);

        /**
         * A new configuration applies. {@code bytes}: size of its transfer; {@code durationMs}: time since the first
         * request.
         */
        void onConfiguration(Configuration configuration, int bytes, long durationMs);

        /** The fetched delta is invalid or does not lead to the coordinator's configuration. */
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
    /** Earliest time of the next request after a rejected transfer, ms. */
    private long noRequestBeforeMs = Long.MIN_VALUE;

    /** The transfer in progress; 0: none. */
    private long transferId;

    private long revision;
    private byte[] bytes;
    private int receivedBytes;
    /** Offset up to which chunks have been requested. */
    private int requestedBytes;

    /** Starts without a configuration. */
    public ConfigurationSubscriber(Actions actions) {
        this.actions = actions;
    }

    /** The configuration that applies now. */
    public Configuration configuration() {
        return configuration;
    }

    /** Whether the configuration is at least the last announced revision; false if that announcement had none. */
    public boolean isNewest() {
        return newestRevision > 0 && configuration.revision() >= newestRevision;
    }

    /** Handles the announcement of the newest revision; 0: the coordinator does not know it yet. */
    public void onNewestRevision(long next, long nowMs) {
        newestRevision = next;
        if (!requestPending && newestRevision > configuration.revision() && nowMs >= noRequestBeforeMs) {
            startedAtMs = nowMs;
            request(nowMs);
        }
    }

    /** Handles a new link to a coordinator: requests on the previous link are lost and are repeated. */
    public void onLinkUp(long nowMs) {
        retryMs = RETRY_MS;
        if (requestPending) {
            request(nowMs);
        }
    }

    /** When {@link #tick} is due; {@link Long#MAX_VALUE}: not until another event occurs. */
    public long nextDueMs() {
        return requestPending ? requestedAtMs + retryMs : Long.MAX_VALUE;
    }

    /** Repeats a request that is overdue; to be called at {@link #nextDueMs} or more often. */
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

    /** Handles a received chunk; malformed or unexpected chunks are ignored. */
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
            // A new transfer, or the coordinator no longer has the previous one.
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
            // If even the full configuration was rejected, delay the next request so that it is not fetched in a tight
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
