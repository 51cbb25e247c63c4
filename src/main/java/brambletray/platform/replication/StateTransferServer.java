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
 * Gives others what their logs lack, in pieces of a cut that stays as it is while changes and compactions go on.
 * Receivers that lack the same share a cut, so many newcomers take no more memory than one. A receiver that has been
 * silent for a while, or has all when another needs room, is forgotten.
 */
final class StateTransferServer {
    /** Cuts, of a few megabytes each, and receivers at a time. */
    private static final int MOST_CUTS = 4;

    private static final int MOST = 16;
    private static final int KEEP_MS = 3000;

    private record Cut(Ballot view, CutDigest name, byte[] bytes) {
        static Cut of(Ballot view, LogPatch patch, long commit) {
            byte[] packed = ReplicationCodec.patch(patch, commit);
            return new Cut(view, CutDigest.of(patch, commit, packed), packed);
        }
    }

    private static final class Receiver {
        long id;
        Cut cut;
        long usedAt;
        boolean over;
    }

    private final MemberState desk;
    private final Function<Ballot, ReplicatedLog> logs;
    private final Map<String, Receiver> receivers = new LinkedHashMap<>();

    /**
     * {@code logs}: of a view that is being installed the log it begins with; of {@link Ballot#NONE} this member's own;
     * null if none.
     */
    StateTransferServer(MemberState desk, Function<Ballot, ReplicatedLog> logs) {
        this.desk = desk;
        this.logs = logs;
    }

    void pull(String from, Frame.PieceRequest pull) {
        Receiver receiver = receivers.get(from);
        ReplicatedLog log = logs.apply(pull.view());
        int offset = pull.offset();
        if (receiver == null || receiver.id != pull.id()) {
            receivers.remove(from);
            Cut cut = log == null ? null : same(pull, log);
            if (cut == null && log != null) {
                cut = cut(pull, log);
                offset = 0;
            }
            if (cut == null) {
                desk.out.send(from, new Frame.Piece(pull.id(), pull.offset(), -1, new byte[0], CutDigest.NONE));
                return;
            }
            receiver = new Receiver();
            receiver.id = pull.id();
            receiver.cut = cut;
            receivers.put(from, receiver);
        }
        receiver.usedAt = desk.now;
        byte[] bytes = receiver.cut.bytes;
        int size = Math.min(StateTransfer.PIECE, bytes.length - offset);
        if (size <= 0) {
            return;
        }
        receiver.over |= offset + size == bytes.length;
        byte[] piece = java.util.Arrays.copyOfRange(bytes, offset, offset + size);
        desk.out.send(from, new Frame.Piece(pull.id(), offset, bytes.length, piece, receiver.cut.name));
    }

    /**
     * The cut of which the receiver has got a part from another member, or from this one before its restart; null if it
     * isn't to be had here.
     */
    private Cut same(Frame.PieceRequest pull, ReplicatedLog log) {
        CutDigest name = pull.cut();
        if (name.equals(CutDigest.NONE)) {
            return null;
        }
        for (Receiver other : receivers.values()) {
            if (other.cut.name.equals(name)) {
                return other.cut;
            }
        }
        if (receivers.size() >= MOST) {
            return null;
        }
        LogPatch patch = name.whole() ? whole(name, log) : tail(name, pull, log);
        if (patch == null) {
            return null;
        }
        byte[] packed = ReplicationCodec.patch(patch, name.commit());
        return name.matches(packed) ? new Cut(pull.view(), name, packed) : null;
    }

    /**
     * The state at the cut's place, made again from this log, and the entries behind it; null where this log begins
     * later or ends earlier.
     */
    private LogPatch whole(CutDigest name, ReplicatedLog log) {
        long after = name.after();
        if (after < log.base() || name.end() < after || name.end() > log.end()) {
            return null;
        }
        byte[] state = log.snapshot();
        if (after > log.base()) {
            List<byte[]> changes = new ArrayList<>();
            log.between(log.base(), after).forEach(entry -> changes.add(entry.bytes()));
            state = desk.stateMachine.replay(state, changes);
        }
        return new LogPatch(true, after, log.viewAt(after), state, log.between(after, name.end()));
    }

    private static LogPatch tail(CutDigest name, Frame.PieceRequest pull, ReplicatedLog log) {
        LogPatch patch = log.since(pull.end(), pull.endView(), pull.commit());
        if (patch.whole() || patch.after() != name.after() || patch.end() < name.end() || name.end() < name.after()) {
            return null;
        }
        List<LogEntry> entries = patch.entries().subList(0, (int) (name.end() - name.after()));
        return new LogPatch(false, patch.after(), patch.afterView(), patch.snapshot(), entries);
    }

    private Cut cut(Frame.PieceRequest pull, ReplicatedLog log) {
        LogPatch patch = log.since(pull.end(), pull.endView(), pull.commit());
        if (pull.view().equals(Ballot.NONE) && !patch.isShort()) {
            patch = lighter(patch);
        }
        Set<Cut> cuts = new HashSet<>();
        for (Receiver other : receivers.values()) {
            Cut cut = other.cut;
            CutDigest name = cut.name;
            boolean same = name.whole() == patch.whole() && name.after() == patch.after() && name.end() == patch.end();
            if (same && cut.view.equals(pull.view())) {
                return cut;
            }
            cuts.add(cut);
        }
        if (cuts.size() >= MOST_CUTS || receivers.size() >= MOST) {
            receivers.values().removeIf(other -> other.over);
        }
        if (receivers.size() >= MOST) {
            return null;
        }
        cuts.clear();
        for (Receiver other : receivers.values()) {
            cuts.add(other.cut);
        }
        if (cuts.size() < MOST_CUTS) {
            return Cut.of(pull.view(), patch, desk.commit);
        }
        // a whole one does for everybody; what has come since is fetched in another round
        Cut newest = null;
        for (Cut cut : cuts) {
            boolean fits = cut.name.whole()
                    && cut.view.equals(pull.view())
                    && pull.view().equals(Ballot.NONE)
                    && cut.name.end() > pull.end();
            if (fits && (newest == null || cut.name.end() > newest.name.end())) {
                newest = cut;
            }
        }
        return newest;
    }

    /** The state as it is now, where that is less than what it was made of: changes replace each other. */
    private LogPatch lighter(LogPatch patch) {
        ReplicatedLog log = desk.log;
        List<LogEntry> rest = List.copyOf(log.entries()
                .subList((int) (desk.delivered - log.base()), log.entries().size()));
        LogPatch fresh =
                new LogPatch(true, desk.delivered, log.viewAt(desk.delivered), desk.stateMachine.snapshot(), rest);
        return fresh.bytes() < patch.bytes() ? fresh : patch;
    }

    void tick() {
        if (receivers.isEmpty()) {
            return;
        }
        Iterator<Receiver> all = receivers.values().iterator();
        while (all.hasNext()) {
            if (desk.now - all.next().usedAt > KEEP_MS) {
                all.remove();
            }
        }
    }
}
