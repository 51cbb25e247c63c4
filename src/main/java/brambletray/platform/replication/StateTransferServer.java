package brambletray.platform.replication;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * Serves what the logs of others lack, in chunks of packed bytes that stay the same while entries and compactions go
 * on. Receivers that lack the same share the packed bytes, so many newcomers take no more memory than one. A receiver
 * that has been silent for a while, or has everything when another needs room, is forgotten.
 */
final class StateTransferServer {
    /** Packed patches, of a few megabytes each, and receivers at a time. */
    private static final int MAX_PACKED = 4;

    private static final int MAX_RECEIVERS = 16;
    private static final int RECEIVER_IDLE_TIMEOUT_MS = 3000;

    private record PackedPatch(Ballot viewBallot, TransferDescriptor descriptor, byte[] bytes) {
        static PackedPatch of(Ballot view, LogPatch patch, long commit) {
            byte[] packed = ReplicationCodec.patch(patch, commit);
            return new PackedPatch(view, TransferDescriptor.of(patch, commit, packed), packed);
        }
    }

    private static final class Receiver {
        long transferId;
        PackedPatch packed;
        long lastUsedAtMs;
        boolean complete;
    }

    private final ReplicaState state;
    private final Function<Ballot, ReplicatedLog> logsByView;
    private final Map<String, Receiver> receivers = new LinkedHashMap<>();

    /**
     * {@code logs}: of a view that is being installed the log it begins with; of {@link Ballot#NONE} this member's own;
     * null if none.
     */
    StateTransferServer(ReplicaState state, Function<Ballot, ReplicatedLog> logs) {
        this.state = state;
        this.logsByView = logs;
    }

    void onFetchChunk(String from, ReplicationMessage.FetchChunkRequest request) {
        Receiver receiver = receivers.get(from);
        ReplicatedLog log = logsByView.apply(request.viewBallot());
        int offset = request.offset();
        if (receiver == null || receiver.transferId != request.transferId()) {
            receivers.remove(from);
            PackedPatch cut = log == null ? null : resumePacked(request, log);
            if (cut == null && log != null) {
                cut = selectPacked(request, log);
                offset = 0;
            }
            if (cut == null) {
                state.actions()
                        .send(
                                from,
                                new ReplicationMessage.FetchChunkResponse(
                                        request.transferId(),
                                        request.offset(),
                                        -1,
                                        new byte[0],
                                        TransferDescriptor.NONE));
                return;
            }
            receiver = new Receiver();
            receiver.transferId = request.transferId();
            receiver.packed = cut;
            receivers.put(from, receiver);
        }
        receiver.lastUsedAtMs = state.nowMs();
        byte[] bytes = receiver.packed.bytes;
        int size = Math.min(StateTransferClient.CHUNK_BYTES, bytes.length - offset);
        if (size <= 0) {
            return;
        }
        receiver.complete |= offset + size == bytes.length;
        byte[] chunk = java.util.Arrays.copyOfRange(bytes, offset, offset + size);
        state.actions()
                .send(
                        from,
                        new ReplicationMessage.FetchChunkResponse(
                                request.transferId(), offset, bytes.length, chunk, receiver.packed.descriptor));
    }

    /**
     * The packed bytes of which the receiver has a part from another member, or from this one before its restart;
     * null if they cannot be packed here.
     */
    private PackedPatch resumePacked(ReplicationMessage.FetchChunkRequest request, ReplicatedLog log) {
        TransferDescriptor name = request.transfer();
        if (name.equals(TransferDescriptor.NONE)) {
            return null;
        }
        for (Receiver other : receivers.values()) {
            if (other.packed.descriptor.equals(name)) {
                return other.packed;
            }
        }
        if (receivers.size() >= MAX_RECEIVERS) {
            return null;
        }
        LogPatch patch = name.isSnapshot() ? snapshotPatch(name, log) : entriesPatch(name, request, log);
        if (patch == null) {
            return null;
        }
        byte[] packed = ReplicationCodec.patch(patch, name.commitIndex());
        return name.matches(packed) ? new PackedPatch(request.viewBallot(), name, packed) : null;
    }

    /**
     * The state at the descriptor's index, computed again from this log, and the entries after it; null if this log
     * begins later or ends earlier.
     */
    private LogPatch snapshotPatch(TransferDescriptor name, ReplicatedLog log) {
        long after = name.previousIndex();
        if (after < log.snapshotIndex() || name.lastIndex() < after || name.lastIndex() > log.lastIndex()) {
            return null;
        }
        byte[] snapshot = log.snapshot();
        if (after > log.snapshotIndex()) {
            List<byte[]> changes = new ArrayList<>();
            log.entriesBetween(log.snapshotIndex(), after).forEach(entry -> changes.add(entry.bytes()));
            snapshot = state.stateMachine().replay(snapshot, changes);
        }
        return new LogPatch(true, after, log.viewAt(after), snapshot, log.entriesBetween(after, name.lastIndex()));
    }

    private static LogPatch entriesPatch(
            TransferDescriptor name, ReplicationMessage.FetchChunkRequest request, ReplicatedLog log) {
        LogPatch patch = log.patchFor(request.lastIndex(), request.lastView(), request.commitIndex());
        if (patch.replacesAll()
                || patch.previousIndex() != name.previousIndex()
                || patch.lastIndex() < name.lastIndex()
                || name.lastIndex() < name.previousIndex()) {
            return null;
        }
        List<LogEntry> entries = patch.entries().subList(0, (int) (name.lastIndex() - name.previousIndex()));
        return new LogPatch(false, patch.previousIndex(), patch.previousView(), patch.snapshot(), entries);
    }

    private PackedPatch selectPacked(ReplicationMessage.FetchChunkRequest request, ReplicatedLog log) {
        LogPatch patch = log.patchFor(request.lastIndex(), request.lastView(), request.commitIndex());
        if (request.viewBallot().equals(Ballot.NONE) && !patch.fitsInline()) {
            patch = patchOrCurrentState(patch);
        }
        Set<PackedPatch> cuts = new HashSet<>();
        for (Receiver other : receivers.values()) {
            PackedPatch cut = other.packed;
            TransferDescriptor name = cut.descriptor;
            boolean response = name.isSnapshot() == patch.replacesAll()
                    && name.previousIndex() == patch.previousIndex()
                    && name.lastIndex() == patch.lastIndex();
            if (response && cut.viewBallot.equals(request.viewBallot())) {
                return cut;
            }
            cuts.add(cut);
        }
        if (cuts.size() >= MAX_PACKED || receivers.size() >= MAX_RECEIVERS) {
            receivers.values().removeIf(other -> other.complete);
        }
        if (receivers.size() >= MAX_RECEIVERS) {
            return null;
        }
        cuts.clear();
        for (Receiver other : receivers.values()) {
            cuts.add(other.packed);
        }
        if (cuts.size() < MAX_PACKED) {
            return PackedPatch.of(request.viewBallot(), patch, state.commitIndex());
        }
        // a full snapshot serves everybody; what has come since is fetched in another round
        PackedPatch newest = null;
        for (PackedPatch cut : cuts) {
            boolean fits = cut.descriptor.isSnapshot()
                    && cut.viewBallot.equals(request.viewBallot())
                    && request.viewBallot().equals(Ballot.NONE)
                    && cut.descriptor.lastIndex() > request.lastIndex();
            if (fits && (newest == null || cut.descriptor.lastIndex() > newest.descriptor.lastIndex())) {
                newest = cut;
            }
        }
        return newest;
    }

    /** The present state, if that is smaller than the patch: changes replace each other. */
    private LogPatch patchOrCurrentState(LogPatch patch) {
        ReplicatedLog log = state.log();
        List<LogEntry> rest = List.copyOf(log.entries()
                .subList(
                        (int) (state.appliedIndex() - log.snapshotIndex()),
                        log.entries().size()));
        LogPatch fresh = new LogPatch(
                true,
                state.appliedIndex(),
                log.viewAt(state.appliedIndex()),
                state.stateMachine().snapshot(),
                rest);
        return fresh.sizeBytes() < patch.sizeBytes() ? fresh : patch;
    }

    void tick() {
        if (receivers.isEmpty()) {
            return;
        }
        Iterator<Receiver> all = receivers.values().iterator();
        while (all.hasNext()) {
            if (state.nowMs() - all.next().lastUsedAtMs > RECEIVER_IDLE_TIMEOUT_MS) {
                all.remove();
            }
        }
    }
}
