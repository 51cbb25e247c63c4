package brambletray.platform.replication;

import java.util.ArrayList;
import java.util.List;

/**
 * Fetches the missing part of a log from another member, with a few chunks in flight at a time. A transfer can be
 * resumed from another source at the byte reached, if that source can produce the same bytes.
 */
final class StateTransferClient {
    /** Chunk size: takes 66 ms on a 2 Mbit/s link, by which a heartbeat queued behind a chunk may be delayed. */
    static final int CHUNK_BYTES = 16 << 10;
    /** Chunks requested ahead, which bounds the chunks in flight to one receiver. */
    private static final int MAX_CHUNKS_IN_FLIGHT = 4;
    /**
     * Time without a chunk after which the outstanding chunks are requested again; doubles on each retry. Chunks are
     * lost only together with their connection, so on a slow link a long timeout avoids sending the same chunks twice.
     */
    private static final int RETRY_TIMEOUT_MS = 500;

    private static final int IDLE_TIMEOUT_MS = 4000;
    private static final int MAX_TOTAL_BYTES = 64 << 20;

    private final ReplicaState state;
    private String source;
    private final ReplicatedLog ownLog;
    private Ballot viewBallot;
    private long transferId;
    /** Identifies the packed bytes that the chunks belong to. */
    private TransferDescriptor descriptor = TransferDescriptor.NONE;

    private final List<byte[]> chunks = new ArrayList<>();
    private int totalBytes = -1;
    private int requestedChunks;
    private int receivedChunks;
    private int retryTimeoutMs = RETRY_TIMEOUT_MS / 2;
    private long requestedAtMs = Long.MIN_VALUE / 2;
    private long progressAtMs;
    private ReplicatedLog log;
    private long commitIndex;
    private boolean failed;
    /** The fetched bytes do not form a valid log, so the transfer cannot be resumed with them. */
    private boolean corrupt;

    /**
     * Creates a transfer; {@link #tick} sends the first request.
     *
     * @param viewBallot ballot of the view being installed by the source, whose log is fetched; {@link Ballot#NONE} for
     *     the source's own log
     */
    StateTransferClient(ReplicaState state, String source, ReplicatedLog ownLog, Ballot viewBallot) {
        this.viewBallot = viewBallot;
        this.state = state;
        this.source = source;
        this.ownLog = ownLog;
        this.transferId = nextTransferId();
        this.progressAtMs = state.nowMs();
    }

    private long nextTransferId() {
        return state.origin() ^ (state.nextTransferNumber() << 1);
    }

    String source() {
        return source;
    }

    /** Whether chunks have been received from which another source can continue. */
    boolean isResumable() {
        return !chunks.isEmpty() && !corrupt;
    }

    /** Requests the missing chunks from another source, or again from the same one. */
    void resume(String newSource, Ballot newViewBallot) {
        state.actions()
                .log(new ReplicationEvent.TransferResumed(newSource, source, receivedChunks * CHUNK_BYTES, totalBytes));
        source = newSource;
        viewBallot = newViewBallot;
        transferId = nextTransferId();
        failed = false;
        progressAtMs = state.nowMs();
        retryTimeoutMs = RETRY_TIMEOUT_MS;
        requestedChunks = receivedChunks;
        requestChunks();
    }

    Ballot viewBallot() {
        return viewBallot;
    }

    /** Continues the transfer for a later view change that installs the same log. */
    void continueForView(Ballot laterViewBallot) {
        viewBallot = laterViewBallot;
    }

    /** Milliseconds since the last chunk. */
    long idleMs() {
        return state.nowMs() - progressAtMs;
    }

    /** Repeats requests that have timed out. */
    void tick() {
        if (state.nowMs() - progressAtMs > IDLE_TIMEOUT_MS) {
            failed = true;
        }
        if (failed
                || log != null
                || (requestedChunks > 0 && state.nowMs() - Math.max(requestedAtMs, progressAtMs) < retryTimeoutMs)) {
            return;
        }
        retryTimeoutMs = Math.min(2 * retryTimeoutMs, IDLE_TIMEOUT_MS);
        requestedChunks = receivedChunks;
        requestChunks();
    }

    private void requestChunks() {
        int endChunk = totalBytes < 0
                ? 1
                : Math.min(receivedChunks + MAX_CHUNKS_IN_FLIGHT, (totalBytes + CHUNK_BYTES - 1) / CHUNK_BYTES);
        for (; requestedChunks < endChunk; requestedChunks++) {
            requestedAtMs = state.nowMs();
            state.actions()
                    .send(
                            source,
                            new ReplicationMessage.FetchChunkRequest(
                                    transferId,
                                    requestedChunks * CHUNK_BYTES,
                                    viewBallot,
                                    ownLog.lastIndex(),
                                    ownLog.lastView(),
                                    Math.min(state.commitIndex(), ownLog.lastIndex()),
                                    descriptor));
        }
    }

    /**
     * Handles a chunk.
     *
     * @return whether the transfer has ended, successfully or not
     */
    boolean onChunk(ReplicationMessage.FetchChunkResponse chunk) {
        if (chunk.transferId() != transferId || log != null || failed) {
            return false;
        }
        if (chunk.totalBytes() < 0 || chunk.totalBytes() > MAX_TOTAL_BYTES) {
            failed = true;
            return true;
        }
        if (chunk.offset() == 0 && !chunks.isEmpty() && !chunk.transfer().equals(descriptor)) {
            restart();
        }
        if (chunk.offset() != receivedChunks * CHUNK_BYTES) {
            return false;
        }
        if (chunks.isEmpty()) {
            descriptor = chunk.transfer();
        }
        if (!chunk.transfer().equals(descriptor)) {
            return false;
        }
        totalBytes = chunk.totalBytes();
        chunks.add(chunk.bytes());
        receivedChunks++;
        progressAtMs = state.nowMs();
        retryTimeoutMs = RETRY_TIMEOUT_MS;
        if (receivedChunks * CHUNK_BYTES < totalBytes) {
            if (requestedChunks < receivedChunks) {
                requestedChunks = receivedChunks;
            }
            requestChunks();
            return false;
        }
        assemble();
        return true;
    }

    /** Discards the received chunks, as the source now serves different packed bytes. */
    private void restart() {
        state.actions()
                .log(new ReplicationEvent.TransferRestarted(
                        source, receivedChunks * CHUNK_BYTES, "the source serves different bytes"));
        chunks.clear();
        receivedChunks = 0;
        requestedChunks = 0;
        totalBytes = -1;
    }

    private void assemble() {
        byte[] packed = new byte[totalBytes];
        int offset = 0;
        for (byte[] chunk : chunks) {
            System.arraycopy(chunk, 0, packed, offset, chunk.length);
            offset += chunk.length;
        }
        chunks.clear();
        if (!descriptor.matches(packed)) {
            state.actions().log(new ReplicationEvent.TransferCorrupt(source, totalBytes));
            corrupt = true;
            failed = true;
            return;
        }
        log = ReplicationCodec.read(packed, in -> {
            commitIndex = in.readLong();
            return ownLog.patched(ReplicationCodec.patch(in));
        });
        failed = log == null;
        corrupt = failed;
    }

    boolean failed() {
        return failed;
    }

    /** The fetched log; null until the transfer has completed, and if the fetched patch does not match. */
    ReplicatedLog log() {
        return log;
    }

    /** Commit index of the member that packed the log. */
    long commitIndex() {
        return commitIndex;
    }
}
