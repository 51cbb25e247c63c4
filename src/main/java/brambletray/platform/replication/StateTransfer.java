package brambletray.platform.replication;

import java.util.ArrayList;
import java.util.List;

/** Gets what a log lacks from one other member, in pieces, a few at a time. */
final class StateTransfer {
    /** Bytes of a piece: 66 ms of a link of 2 Mbit/s, which is what a heartbeat said after one may have to wait. */
    static final int PIECE = 16 << 10;
    /** Pieces asked for ahead; no more bytes are ever on their way to one receiver. */
    private static final int WINDOW = 4;
    /**
     * Silence after which all that is missing is asked for again: pieces are lost with their link only, so on a slow
     * link patience is what keeps the same pieces from being sent again and again. Doubles each time.
     */
    private static final int AGAIN_MS = 500;

    private static final int GIVE_UP_MS = 4000;
    private static final int MOST = 64 << 20;

    private final MemberState desk;
    private String from;
    private final ReplicatedLog mine;
    private Ballot view;
    private long id;
    /** Of the bytes of which the pieces are. */
    private CutDigest cut = CutDigest.NONE;

    private final List<byte[]> pieces = new ArrayList<>();
    private int total = -1;
    private int asked;
    private int got;
    private int againMs = AGAIN_MS / 2;
    private long saidAt = Long.MIN_VALUE / 2;
    private long movedAt;
    private ReplicatedLog log;
    private long commit;
    private boolean failed;
    /** What has come is no log, so nothing of it is of use. */
    private boolean spoilt;

    /**
     * {@code view}: one that is being installed there, whose log is fetched; {@link Ballot#NONE} for what the giver has
     * itself.
     */
    StateTransfer(MemberState desk, String from, ReplicatedLog mine, Ballot view) {
        this.view = view;
        this.desk = desk;
        this.from = from;
        this.mine = mine;
        this.id = nextId();
        this.movedAt = desk.now;
    }

    private long nextId() {
        return desk.origin ^ (++desk.transfers << 1);
    }

    String from() {
        return from;
    }

    /** Whether a part has come that another giver may go on from. */
    boolean resumable() {
        return !pieces.isEmpty() && !spoilt;
    }

    /** Asks another giver, or the same one again, for what hasn't come. */
    void resume(String giver, Ballot of) {
        desk.out.tell("replication.transfer-resumed", "from", giver, "before", from, "bytes", got * PIECE, "of", total);
        from = giver;
        view = of;
        id = nextId();
        failed = false;
        movedAt = desk.now;
        againMs = AGAIN_MS;
        asked = got;
        more();
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
                    new Frame.PieceRequest(
                            id,
                            asked * PIECE,
                            view,
                            mine.end(),
                            mine.endView(),
                            Math.min(desk.commit, mine.end()),
                            cut));
        }
    }

    /** Takes a piece; true when it is over, well or not. */
    boolean piece(Frame.Piece piece) {
        if (piece.id() != id || log != null || failed) {
            return false;
        }
        if (piece.total() < 0 || piece.total() > MOST) {
            failed = true;
            return true;
        }
        if (piece.offset() == 0 && !pieces.isEmpty() && !piece.cut().equals(cut)) {
            begin();
        }
        if (piece.offset() != got * PIECE) {
            return false;
        }
        if (pieces.isEmpty()) {
            cut = piece.cut();
        }
        if (!piece.cut().equals(cut)) {
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

    /** The giver has another state: what has come is of no use with it. */
    private void begin() {
        desk.out.tell(
                "replication.transfer-anew", "from", from, "bytes", got * PIECE, "why", "the giver packs another cut");
        pieces.clear();
        got = 0;
        asked = 0;
        total = -1;
    }

    private void join() {
        byte[] whole = new byte[total];
        int at = 0;
        for (byte[] piece : pieces) {
            System.arraycopy(piece, 0, whole, at, piece.length);
            at += piece.length;
        }
        pieces.clear();
        if (!cut.matches(whole)) {
            desk.out.tell("replication.transfer-spoilt", "from", from, "bytes", total);
            spoilt = true;
            failed = true;
            return;
        }
        log = ReplicationCodec.read(whole, in -> {
            commit = in.readLong();
            return mine.patched(ReplicationCodec.patch(in));
        });
        failed = log == null;
        spoilt = failed;
    }

    boolean failed() {
        return failed;
    }

    /** The log after the pieces; null while they are coming and when they didn't fit. */
    ReplicatedLog log() {
        return log;
    }

    /** Up to here the log was known to be kept at the one who gave it. */
    long commit() {
        return commit;
    }
}
