package brambletray.platform.replication;

import java.util.ArrayList;
import java.util.List;

/**
 * Fetches what a log lacks from another member, in chunks, a few at a time. A transfer goes on at another source from
 * the byte that was reached, if that source can pack the same bytes.
 */
final class StateTransferClient {
    /** Bytes of a chunk: 66 ms of a link of 2 Mbit/s, which a heartbeat sent after one may have to wait. */
    static final int CHUNK_BYTES = 16 << 10;
    /** Chunks requested ahead; no more are ever in flight to one receiver. */
    private static final int MAX_CHUNKS_IN_FLIGHT = 4;
    /**
     * Silence after which all missing chunks are requested again: chunks are lost with their link only, so on a slow
     * link a long time-out keeps the same chunks from being sent repeatedly. Doubles each time.
     */
    private static final int RETRY_TIMEOUT_MS = 500;

    private static final int IDLE_TIMEOUT_MS = 4000;
    private static final int MAX_TOTAL_BYTES = 64 << 20;

    private final ReplicaState state;
    private String source;
    private final ReplicatedLog ownLog;
    private Ballot viewBallot;
    private long transferId;
    /** Identifies the bytes of which these are chunks. */
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
    /** What was fetched is not a log, so it is of no use. */
    private boolean corrupt;

    /**
     * {@code view}: one that is being installed there, whose log is fetched; {@link Ballot#NONE} for what the giver has
     * itself.
     */
    StateTransferClient(ReplicaState state, String from, ReplicatedLog mine, Ballot view) {
        this.viewBallot = view;
        this.state = state;
        this.source = from;
        this.ownLog = mine;
        this.transferId = nextTransferId();
        this.progressAtMs = state.nowMs();
    }

    private long nextTransferId() {
        return state.origin() ^ (state.nextTransferNumber() << 1);
    }

    String source() {
        return source;
    }

    /** Whether a part has come that another source may go on from. */
    boolean isResumable() {
        return !chunks.isEmpty() && !corrupt;
    }

    /** Requests what is missing from another source, or from the same one again. */
    void resume(String giver, Ballot of) {
        state.actions()
                .log(new ReplicationEvent.TransferResumed(giver, source, receivedChunks * CHUNK_BYTES, totalBytes));
        source = giver;
        viewBallot = of;
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

    /** A later view change installs the same log. */
    void continueForView(Ballot later) {
        viewBallot = later;
    }

    /** Milliseconds since the last chunk. */
    long idleMs() {
        return state.nowMs() - progressAtMs;
    }

    /** Requests again what has not come in time. */
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
        int until = totalBytes < 0
                ? 1
                : Math.min(receivedChunks + MAX_CHUNKS_IN_FLIGHT, (totalBytes + CHUNK_BYTES - 1) / CHUNK_BYTES);
        for (; requestedChunks < until; requestedChunks++) {
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

    /** Takes a chunk; whether the transfer is over, successful or not. */
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

    /** The source packs another state: the chunks that have come do not belong to it. */
    private void restart() {
        state.actions()
                .log(new ReplicationEvent.TransferRestarted(
                        source, receivedChunks * CHUNK_BYTES, "the giver packs another cut"));
        chunks.clear();
        receivedChunks = 0;
        requestedChunks = 0;
        totalBytes = -1;
    }

    private void assemble() {
        byte[] packed = new byte[totalBytes];
        int at = 0;
        for (byte[] chunk : chunks) {
            System.arraycopy(chunk, 0, packed, at, chunk.length);
            at += chunk.length;
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

    /** The log that was fetched; null before the end and if the chunks did not fit. */
    ReplicatedLog log() {
        return log;
    }

    /** Commit index of the member that has packed the log. */
    long commitIndex() {
        return commitIndex;
    }
}
