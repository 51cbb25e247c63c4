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
 * Serves the missing part of other members' logs, in chunks of packed bytes that stay unchanged while entries are
 * appended and compacted. Receivers with the same needs share the packed bytes, so many newcomers take no more memory
 * than one. A receiver is dropped when it has been idle for a while, or has everything and another one needs its slot.
 */
final class StateTransferServer {
    /** Packed patches held at a time, of a few megabytes each. */
    private static final int MAX_PACKED = 4;

    private static final int MAX_RECEIVERS = 16;
    private static final int RECEIVER_IDLE_TIMEOUT_MS = 3000;

    private record PackedPatch(Ballot viewBallot, TransferDescriptor descriptor, byte[] bytes) {
        static PackedPatch of(Ballot view, LogPatch patch, long commitIndex) {
            byte[] packed = ReplicationCodec.patch(patch, commitIndex);
            return new PackedPatch(view, TransferDescriptor.of(patch, commitIndex, packed), packed);
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
     * Creates a server without receivers.
     *
     * @param logsByView returns the initial log of a view being installed, this member's own log for
     *     {@link Ballot#NONE}, and null for other ballots
     */
    StateTransferServer(ReplicaState state, Function<Ballot, ReplicatedLog> logsByView) {
        this.state = state;
        this.logsByView = logsByView;
    }

    void onFetchChunk(String from, ReplicationMessage.FetchChunkRequest request) {
        Receiver receiver = receivers.get(from);
        ReplicatedLog log = logsByView.apply(request.viewBallot());
        int offset = request.offset();
        if (receiver == null || receiver.transferId != request.transferId()) {
            receivers.remove(from);
            PackedPatch packed = log == null ? null : resumePacked(request, log);
            if (packed == null && log != null) {
                packed = selectPacked(request, log);
                offset = 0;
            }
            if (packed == null) {
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
            receiver.packed = packed;
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
     * The packed bytes of which the receiver already has a part, from another member or from this one before its
     * restart; null if they cannot be reproduced here.
     */
    private PackedPatch resumePacked(ReplicationMessage.FetchChunkRequest request, ReplicatedLog log) {
        TransferDescriptor descriptor = request.transfer();
        if (descriptor.equals(TransferDescriptor.NONE)) {
            return null;
        }
        for (Receiver other : receivers.values()) {
            if (other.packed.descriptor.equals(descriptor)) {
                return other.packed;
            }
        }
        if (receivers.size() >= MAX_RECEIVERS) {
            return null;
        }
        LogPatch patch =
                descriptor.isSnapshot() ? snapshotPatch(descriptor, log) : entriesPatch(descriptor, request, log);
        if (patch == null) {
            return null;
        }
        byte[] packed = ReplicationCodec.patch(patch, descriptor.commitIndex());
        return descriptor.matches(packed) ? new PackedPatch(request.viewBallot(), descriptor, packed) : null;
    }

    /**
     * The state at the descriptor's index, recomputed from this log, and the entries after it; null if this log starts
     * later or ends earlier.
     */
    private LogPatch snapshotPatch(TransferDescriptor descriptor, ReplicatedLog log) {
        long snapshotIndex = descriptor.previousIndex();
        if (snapshotIndex < log.snapshotIndex()
                || descriptor.lastIndex() < snapshotIndex
                || descriptor.lastIndex() > log.lastIndex()) {
            return null;
        }
        byte[] snapshot = log.snapshot();
        if (snapshotIndex > log.snapshotIndex()) {
            List<byte[]> changes = new ArrayList<>();
            log.entriesBetween(log.snapshotIndex(), snapshotIndex).forEach(entry -> changes.add(entry.bytes()));
            snapshot = state.stateMachine().replay(snapshot, changes);
        }
        return new LogPatch(
                true,
                snapshotIndex,
                log.viewAt(snapshotIndex),
                snapshot,
                log.entriesBetween(snapshotIndex, descriptor.lastIndex()));
    }

    private static LogPatch entriesPatch(
            TransferDescriptor descriptor, ReplicationMessage.FetchChunkRequest request, ReplicatedLog log) {
        LogPatch patch = log.patchFor(request.lastIndex(), request.lastView(), request.commitIndex());
        if (patch.replacesAll()
                || patch.previousIndex() != descriptor.previousIndex()
                || patch.lastIndex() < descriptor.lastIndex()
                || descriptor.lastIndex() < descriptor.previousIndex()) {
            return null;
        }
        List<LogEntry> entries =
                patch.entries().subList(0, (int) (descriptor.lastIndex() - descriptor.previousIndex()));
        return new LogPatch(false, patch.previousIndex(), patch.previousView(), patch.snapshot(), entries);
    }

    private PackedPatch selectPacked(ReplicationMessage.FetchChunkRequest request, ReplicatedLog log) {
        LogPatch patch = log.patchFor(request.lastIndex(), request.lastView(), request.commitIndex());
        if (request.viewBallot().equals(Ballot.NONE) && !patch.fitsInline()) {
            patch = patchOrCurrentState(patch);
        }
        Set<PackedPatch> packedInUse = new HashSet<>();
        for (Receiver other : receivers.values()) {
            PackedPatch packed = other.packed;
            TransferDescriptor descriptor = packed.descriptor;
            boolean samePatch = descriptor.isSnapshot() == patch.replacesAll()
                    && descriptor.previousIndex() == patch.previousIndex()
                    && descriptor.lastIndex() == patch.lastIndex();
            if (samePatch && packed.viewBallot.equals(request.viewBallot())) {
                return packed;
            }
            packedInUse.add(packed);
        }
        if (packedInUse.size() >= MAX_PACKED || receivers.size() >= MAX_RECEIVERS) {
            receivers.values().removeIf(other -> other.complete);
        }
        if (receivers.size() >= MAX_RECEIVERS) {
            return null;
        }
        packedInUse.clear();
        for (Receiver other : receivers.values()) {
            packedInUse.add(other.packed);
        }
        if (packedInUse.size() < MAX_PACKED) {
            return PackedPatch.of(request.viewBallot(), patch, state.commitIndex());
        }
        // a full snapshot suits every receiver; newer entries are fetched in another transfer
        PackedPatch newest = null;
        for (PackedPatch packed : packedInUse) {
            boolean usable = packed.descriptor.isSnapshot()
                    && packed.viewBallot.equals(request.viewBallot())
                    && request.viewBallot().equals(Ballot.NONE)
                    && packed.descriptor.lastIndex() > request.lastIndex();
            if (usable && (newest == null || packed.descriptor.lastIndex() > newest.descriptor.lastIndex())) {
                newest = packed;
            }
        }
        return newest;
    }

    /**
     * A patch with the current state if that is smaller than the given one, else the given one. The state can be
     * smaller because later changes overwrite earlier ones.
     */
    private LogPatch patchOrCurrentState(LogPatch patch) {
        ReplicatedLog log = state.log();
        List<LogEntry> unappliedEntries = List.copyOf(log.entries()
                .subList(
                        (int) (state.appliedIndex() - log.snapshotIndex()),
                        log.entries().size()));
        LogPatch currentState = new LogPatch(
                true,
                state.appliedIndex(),
                log.viewAt(state.appliedIndex()),
                state.stateMachine().snapshot(),
                unappliedEntries);
        return currentState.sizeBytes() < patch.sizeBytes() ? currentState : patch;
    }

    void tick() {
        if (receivers.isEmpty()) {
            return;
        }
        Iterator<Receiver> iterator = receivers.values().iterator();
        while (iterator.hasNext()) {
            if (state.nowMs() - iterator.next().lastUsedAtMs > RECEIVER_IDLE_TIMEOUT_MS) {
                iterator.remove();
            }
        }
    }
}
