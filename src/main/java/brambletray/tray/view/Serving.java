package brambletray.tray.view;

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
final class Serving {
    /** Cuts, of a few megabytes each, and receivers at a time. */
    private static final int MOST_CUTS = 4;

    private static final int MOST = 16;
    private static final int KEEP_MS = 3000;

    private record Cut(Ballot view, boolean whole, long after, long end, byte[] bytes) {}

    private static final class Receiver {
        long id;
        Cut cut;
        long usedAt;
        boolean over;
    }

    private final Desk desk;
    private final Function<Ballot, Log> logs;
    private final Map<String, Receiver> receivers = new LinkedHashMap<>();

    /**
     * {@code logs}: of a view that is being installed the log it begins with; of {@link Ballot#NONE} this member's own;
     * null if none.
     */
    Serving(Desk desk, Function<Ballot, Log> logs) {
        this.desk = desk;
        this.logs = logs;
    }

    void pull(String from, Frame.Pull pull) {
        Receiver receiver = receivers.get(from);
        Log log = logs.apply(pull.view());
        if (receiver == null || receiver.id != pull.id()) {
            Cut cut = pull.offset() == 0 ? cut(from, pull, log) : null;
            if (cut == null) {
                desk.out.send(from, new Frame.Piece(pull.id(), pull.offset(), -1, new byte[0]));
                return;
            }
            receiver = new Receiver();
            receiver.id = pull.id();
            receiver.cut = cut;
            receivers.put(from, receiver);
        }
        receiver.usedAt = desk.now;
        byte[] bytes = receiver.cut.bytes;
        int size = Math.min(StateTransfer.PIECE, bytes.length - pull.offset());
        if (size <= 0) {
            return;
        }
        receiver.over |= pull.offset() + size == bytes.length;
        byte[] piece = java.util.Arrays.copyOfRange(bytes, pull.offset(), pull.offset() + size);
        desk.out.send(from, new Frame.Piece(pull.id(), pull.offset(), bytes.length, piece));
    }

    private Cut cut(String from, Frame.Pull pull, Log log) {
        receivers.remove(from);
        if (log == null) {
            return null;
        }
        Patch patch = log.since(pull.end(), pull.endView(), pull.commit());
        if (pull.view().equals(Ballot.NONE) && !patch.isShort()) {
            patch = lighter(patch);
        }
        Set<Cut> cuts = new HashSet<>();
        for (Receiver other : receivers.values()) {
            Cut cut = other.cut;
            boolean same = cut.whole == patch.whole() && cut.after == patch.after() && cut.end == patch.end();
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
            return new Cut(pull.view(), patch.whole(), patch.after(), patch.end(), Codec.patch(patch, desk.commit));
        }
        // a whole one does for everybody; what has come since is fetched in another round
        Cut newest = null;
        for (Cut cut : cuts) {
            boolean fits = cut.whole
                    && cut.view.equals(pull.view())
                    && pull.view().equals(Ballot.NONE)
                    && cut.end > pull.end();
            if (fits && (newest == null || cut.end > newest.end)) {
                newest = cut;
            }
        }
        return newest;
    }

    /** The state as it is now, where that is less than what it was made of: changes replace each other. */
    private Patch lighter(Patch patch) {
        Log log = desk.log;
        List<Entry> rest = List.copyOf(log.entries()
                .subList((int) (desk.delivered - log.base()), log.entries().size()));
        Patch fresh = new Patch(true, desk.delivered, log.viewAt(desk.delivered), desk.matter.snapshot(), rest);
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
