package brambletray.tray.view;

import java.util.ArrayList;
import java.util.List;

/** Gets what a log lacks from one other member, in pieces, a few at a time. */
final class StateTransfer {
    /** Bytes of a piece, and pieces asked for ahead. */
    static final int PIECE = 64 << 10;

    private static final int WINDOW = 4;
    /**
     * Silence after which all that is missing is asked for again: pieces are lost with their link only, so on a slow
     * link patience is what keeps the same pieces from being sent again and again. Doubles each time.
     */
    private static final int AGAIN_MS = 500;

    private static final int GIVE_UP_MS = 4000;
    private static final int MOST = 64 << 20;

    private final Desk desk;
    private final String from;
    private final Log mine;
    private Ballot view;
    private final long id;
    private final List<byte[]> pieces = new ArrayList<>();
    private int total = -1;
    private int asked;
    private int got;
    private int againMs = AGAIN_MS / 2;
    private long saidAt = Long.MIN_VALUE / 2;
    private long movedAt;
    private Log log;
    private long commit;
    private boolean failed;

    /**
     * {@code view}: one that is being installed there, whose log is fetched; {@link Ballot#NONE} for what the giver has
     * itself.
     */
    StateTransfer(Desk desk, String from, Log mine, Ballot view) {
        this.view = view;
        this.desk = desk;
        this.from = from;
        this.mine = mine;
        this.id = desk.origin ^ (++desk.transfers << 1);
        this.movedAt = desk.now;
    }

    String from() {
        return from;
    }

    Ballot view() {
        return view;
    }

    /** The log is that of a later attempt to install it, too. */
    void goOn(Ballot later) {
        view = later;
    }

    /** Milliseconds since something came. */
    long idleMs() {
        return desk.now - movedAt;
    }

    /** Asks again for what hasn't come. */
    void tick() {
        if (desk.now - movedAt > GIVE_UP_MS) {
            failed = true;
        }
        if (failed || log != null || (asked > 0 && desk.now - Math.max(saidAt, movedAt) < againMs)) {
            return;
        }
        againMs = Math.min(2 * againMs, GIVE_UP_MS);
        asked = got;
        more();
    }

    private void more() {
        int until = total < 0 ? 1 : Math.min(got + WINDOW, (total + PIECE - 1) / PIECE);
        for (; asked < until; asked++) {
            saidAt = desk.now;
            desk.out.send(
                    from,
                    new Frame.Pull(
                            id, asked * PIECE, view, mine.end(), mine.endView(), Math.min(desk.commit, mine.end())));
        }
    }

    /** Takes a piece; true when it is over, well or not. */
    boolean piece(Frame.Piece piece) {
        if (piece.id() != id || log != null || failed) {
            return false;
        }
        if (piece.total() < 0 || piece.total() > MOST || (total >= 0 && total != piece.total())) {
            failed = true;
            return true;
        }
        if (piece.offset() != got * PIECE) {
            return false;
        }
        total = piece.total();
        pieces.add(piece.bytes());
        got++;
        movedAt = desk.now;
        againMs = AGAIN_MS;
        if (got * PIECE < total) {
            if (asked < got) {
                asked = got;
            }
            more();
            return false;
        }
        join();
        return true;
    }

    private void join() {
        byte[] whole = new byte[total];
        int at = 0;
        for (byte[] piece : pieces) {
            System.arraycopy(piece, 0, whole, at, piece.length);
            at += piece.length;
        }
        pieces.clear();
        log = Codec.read(whole, in -> {
            commit = in.readLong();
            return mine.patched(Codec.patch(in));
        });
        failed = log == null;
    }

    boolean failed() {
        return failed;
    }

    /** The log after the pieces; null while they are coming and when they didn't fit. */
    Log log() {
        return log;
    }

    /** Up to here the log was known to be kept at the one who gave it. */
    long commit() {
        return commit;
    }
}
