package brambletray.platform.replication;

/**
 * The part of a member that follows: keeps what the leader sends, answers its beats, stops for a change of view, and
 * begins one itself when the leader is silent. The order of rank (the leader first, then as in the list) and the
 * patience that grows with it keep two from beginning at once.
 */
final class Follower {
    private static final int START_MS = 100;
    private static final int HINT_MS = 250;
    private static final int CALM_MS = 350;
    /**
     * Silence after which the part of a log that has come is dropped: longer than a change of view after the loss of
     * its proposer.
     */
    private static final int FORGET_MS = 10_000;

    private final MemberState desk;
    private final Replica members;
    private long leaderAt;
    private boolean heard;
    private long hintAt = Long.MIN_VALUE / 2;
    private long byeAt = -1;
    private long quietUntil = Long.MIN_VALUE / 2;
    /** In force, later than ours, and we aren't in it. */
    private View left;
    /** The log of a view that is being installed, on its way here in pieces. */
    private StateTransfer transfer;

    private Frame.TransferOffer offered;

    Follower(MemberState desk, Replica members) {
        this.desk = desk;
        this.members = members;
        this.leaderAt = desk.now;
    }

    /** Whether a later view is known to be in force without this member. */
    boolean fallen() {
        return left != null;
    }

    /** The later view, when fallen. */
    View left() {
        return left;
    }

    /** Whether the leader has been heard of late. */
    boolean calm() {
        return heard && byeAt < 0 && desk.now - leaderAt <= CALM_MS;
    }

    /** Whether no leader has been heard since the start of the process. */
    boolean fresh() {
        return !heard;
    }

    /** Nobody is suspected until spans have run anew. */
    void doubt() {
        leaderAt = desk.now;
        hintAt = Long.MIN_VALUE / 2;
    }

    /** The leader is about to end: the next in rank takes over at once. */
    void bye() {
        if (byeAt < 0) {
            byeAt = desk.now;
        }
    }

    /** Whether the leader has said that it is about to end. */
    boolean released() {
        return byeAt >= 0;
    }

    /** No attempt of our own before this span is over. */
    void quiet(long ms) {
        quietUntil = Math.max(quietUntil, desk.now + ms);
    }

    void installed() {
        left = null;
        transfer = null;
        byeAt = -1;
        leaderAt = desk.now;
        quietUntil = Long.MIN_VALUE / 2;
        heard = true;
    }

    int rank() {
        int rank = 0;
        for (Member member : desk.view.members()) {
            if (member.address().equals(desk.me.address())) {
                return rank;
            }
            rank++;
        }
        return rank;
    }

    void gone(String address) {
        Member leader = desk.view == null ? null : desk.view.leader();
        if (leader != null && leader.address().equals(address)) {
            hintAt = desk.now;
        }
    }

    /** Whether it is time to begin a change: the leader has been silent for long enough. */
    boolean impatient() {
        if (desk.view == null || left != null || desk.now < quietUntil) {
            return false;
        }
        if (byeAt >= 0) {
            return desk.now - byeAt >= (long) (rank() - 1) * desk.set.staggerMs();
        }
        int patience = heard ? desk.set.silentMs() : START_MS;
        if (heard && hintAt >= leaderAt && desk.now - hintAt < 2000) {
            patience = HINT_MS;
        }
        return desk.now - leaderAt > patience + (long) rank() * desk.set.staggerMs();
    }

    void beat(String from, Frame.Heartbeat beat) {
        View view = desk.view;
        if (view == null || !view.ballot().equals(beat.view())) {
            boolean old = view != null
                    && desk.inForce
                    && view.ballot().above(beat.view())
                    && !view.has(beat.view().who());
            if (old) {
                desk.out.send(from, new Frame.NotMember(view));
            }
            return;
        }
        if (members.leading()) {
            return;
        }
        if (!desk.stopped()) {
            if (!beat.ill()) {
                leaderAt = desk.now;
            }
            heard = true;
            desk.floor = beat.floor();
            if (beat.inForce() && !desk.inForce) {
                desk.force();
                members.inForce();
            }
            desk.commitTo(beat.commit());
        }
        desk.out.send(
                from,
                new Frame.HeartbeatAnswer(
                        view.ballot(), desk.me.life(), beat.seq(), desk.held, desk.promised, desk.ill()));
    }

    void append(String from, Frame.Append append) {
        if (!desk.works(append.view()) || members.leading()) {
            return;
        }
        leaderAt = desk.now;
        heard = true;
        if (append.after() > desk.log.end() || desk.writeAheadQueue.crowded(8 << 20)) {
            return;
        }
        Ballot at = desk.log.viewAt(append.after());
        if (at != null && !at.equals(append.afterView())) {
            desk.out.tell(
                    "replication.logs-differ",
                    "view",
                    append.view(),
                    "place",
                    append.after(),
                    "mine",
                    at,
                    "leader",
                    append.afterView());
            return;
        }
        long before = desk.log.end();
        for (LogEntry entry : append.entries()) {
            if (entry.index() == desk.log.end() + 1) {
                desk.append(entry);
            }
        }
        long end = desk.log.end();
        if (end > before) {
            View view = desk.view;
            desk.writeAheadQueue.then(() -> {
                if (!desk.view.ballot().equals(view.ballot())) {
                    return;
                }
                desk.held = Math.max(desk.held, end);
                if (!desk.stopped()) {
                    desk.out.send(from, new Frame.Ack(view.ballot(), desk.me.life(), end));
                }
            });
        } else if (!append.entries().isEmpty()) {
            desk.out.send(from, new Frame.Ack(desk.view.ballot(), desk.me.life(), desk.held));
        }
        desk.commitTo(append.commit());
    }

    void stop(String from, Frame.StopRequest stop) {
        View view = desk.view == null ? View.NOTHING : desk.view;
        boolean firm = desk.inForce && !view.founding();
        if (firm && !view.has(stop.from().life())) {
            desk.out.send(from, new Frame.NotMember(view));
            return;
        }
        desk.seen = Math.max(desk.seen, stop.ballot().number());
        desk.bury(stop.dead());
        Ballot most = members.reserved();
        if (most.above(stop.ballot()) || stop.ballot().number() <= view.number()) {
            desk.out.send(from, new Frame.Refuse(stop.ballot(), most, false));
            return;
        }
        if (!desk.promised.equals(stop.ballot())) {
            boolean leader = stop.from().life() == view.ballot().who();
            if (firm && !desk.stopped() && !leader && (members.leading() ? members.well() : calm())) {
                desk.out.send(from, new Frame.Refuse(stop.ballot(), most, true));
                return;
            }
            members.yield();
            desk.promise(stop.ballot());
            int wait = (view.founding() ? desk.set.foundMs() : 0) + desk.set.silentMs();
            quiet(wait + (desk.view == null ? 0 : (long) rank() * desk.set.staggerMs()));
            desk.out.tell(
                    "replication.promise",
                    "ballot",
                    stop.ballot(),
                    "to",
                    stop.from().name(),
                    "view",
                    view.ballot(),
                    "end",
                    desk.log.end());
        }
        desk.writeAheadQueue.then(() -> {
            boolean over = desk.view != null && desk.view.ballot().equals(stop.ballot());
            if (desk.promised.equals(stop.ballot()) && !over) {
                desk.out.send(from, desk.told(stop.ballot()));
            }
        });
    }

    void left(Frame.NotMember gone) {
        View view = gone.view();
        if (desk.view == null || !view.ballot().above(desk.view.ballot()) || view.has(desk.me.life())) {
            return;
        }
        if (left == null || view.ballot().above(left.ballot())) {
            left = view;
            for (Member member : view.members()) {
                desk.meet(member.address());
            }
            members.yield();
            desk.out.tell(
                    "replication.left-out",
                    "mine",
                    desk.view.ballot(),
                    "now",
                    view.ballot(),
                    "members",
                    MemberState.names(view.members()));
            desk.out.changed();
        }
    }

    /**
     * A proposed view whose log is longer than a frame may be: it is fetched first, while no higher promise forbids it.
     */
    void offer(String from, Frame.TransferOffer offer, ReplicatedLog base) {
        View next = offer.view();
        if (!next.has(desk.me.life())) {
            return;
        }
        boolean kept = desk.view != null && desk.view.ballot().equals(next.ballot());
        if (kept || desk.promised.above(next.ballot())) {
            install(from, new Frame.Install(next, null), base);
        } else {
            // the same log, offered anew, perhaps by another proposer: what has come of it stays
            boolean same = transfer != null
                    && offered.end() == offer.end()
                    && offered.endView().equals(offer.endView());
            offered = offer;
            if (same && transfer.from().equals(from) && !transfer.failed()) {
                transfer.goOn(next.ballot());
            } else if (same && transfer.resumable()) {
                transfer.resume(from, next.ballot());
            } else {
                transfer = new StateTransfer(desk, from, base, next.ballot());
                transfer.tick();
            }
        }
    }

    void piece(Frame.Piece piece) {
        if (transfer == null) {
            return;
        }
        boolean over = transfer.piece(piece);
        // it is about to be in a view: an attempt of its own would end the transfer
        quiet(desk.set.silentMs() + (desk.view == null ? 0 : (long) rank() * desk.set.staggerMs()));
        if (!over) {
            return;
        }
        ReplicatedLog log = transfer.log();
        String from = transfer.from();
        transfer = null;
        if (log == null || log.end() != offered.end() || !log.endView().equals(offered.endView())) {
            return;
        }
        if (!desk.promised.above(offered.view().ballot())) {
            keep(from, offered.view(), log);
        }
    }

    void tick() {
        if (transfer == null) {
            return;
        }
        boolean useless = transfer.failed() && !transfer.resumable();
        if (useless || transfer.idleMs() > FORGET_MS) {
            transfer = null;
        }
        // a later change of view is under way: if it offers the same log, what has come stays
        else if (!desk.promised.above(transfer.view())) {
            transfer.tick();
        }
    }

    /** A proposed view: kept if no higher promise forbids it and the patch fits. */
    void install(String from, Frame.Install install, ReplicatedLog base) {
        View next = install.view();
        if (!next.has(desk.me.life())) {
            return;
        }
        if (desk.leaving && (desk.view == null || left != null)) {
            // let in by a knock that is older than its leaving: nobody is to wait for it
            desk.out.send(from, new Frame.PatchMismatch(next.ballot(), desk.me.life()));
            return;
        }
        if (desk.promised.above(next.ballot())) {
            desk.out.send(from, new Frame.Refuse(next.ballot(), desk.promised, false));
            return;
        }
        if (desk.view == null || !desk.view.ballot().equals(next.ballot())) {
            ReplicatedLog chosen = base.patched(install.patch());
            keep(from, next, chosen != null ? chosen : desk.log.patched(install.patch()));
            return;
        }
        say(from, next);
    }

    private void keep(String from, View next, ReplicatedLog chosen) {
        if (chosen == null || !desk.accept(next, chosen)) {
            desk.out.send(from, new Frame.PatchMismatch(next.ballot(), desk.me.life()));
            return;
        }
        members.yield();
        installed();
        members.accepted();
        say(from, next);
    }

    private void say(String from, View next) {
        desk.writeAheadQueue.then(() -> {
            if (desk.works(next.ballot())) {
                desk.out.send(from, new Frame.Installed(next.ballot(), desk.me.life()));
            }
        });
    }
}
