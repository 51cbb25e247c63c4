package brambletray.platform.replication;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The part of a member that isn't in: knocks at all it knows, gets the state from the leader into its hand (memory
 * only: nothing of it counts before a view is installed with it), knocks again. A half-got state leaves nothing behind
 * when the process dies.
 */
final class JoinRequester {
    private static final int AGAIN_MS = 250;
    /** Silence of a giver after which another leader's word ends the transfer. */
    private static final int IDLE_MS = 1000;

    private final MemberState desk;
    private final Follower following;
    private ReplicatedLog hand;
    private long handCommit;
    private StateTransfer transfer;
    /** One whose giver fell silent or has nothing to give; the next giver goes on with it. */
    private StateTransfer interrupted;

    private long knockAt = Long.MIN_VALUE / 2;
    private long transferredAt = Long.MIN_VALUE / 2;

    JoinRequester(MemberState desk, Follower following) {
        this.desk = desk;
        this.following = following;
    }

    boolean active() {
        return desk.view == null || following.fallen();
    }

    /** Who has just started may have been left out meanwhile: a member of the later view says so. */
    private boolean unsure() {
        return desk.view != null && following.fresh() && !desk.view.founding();
    }

    /** The log that a patch is put on. */
    ReplicatedLog base() {
        return hand != null && active() ? hand : desk.log;
    }

    void accepted() {
        hand = null;
        transfer = null;
        interrupted = null;
    }

    void tick(Iterable<String> seeds) {
        if (transfer != null) {
            transfer.tick();
            if (transfer.failed()) {
                interrupt();
            }
        }
        if (!(active() || unsure()) || desk.ill() || desk.leaving || desk.now - knockAt < AGAIN_MS) {
            return;
        }
        knock(seeds);
    }

    private void interrupt() {
        if (transfer.resumable()) {
            interrupted = transfer;
        }
        transfer = null;
    }

    void knock(Iterable<String> seeds) {
        if (desk.leaving) {
            return;
        }
        knockAt = desk.now;
        Set<String> all = new LinkedHashSet<>();
        seeds.forEach(all::add);
        all.addAll(desk.known);
        if (following.left() != null) {
            following.left().members().forEach(member -> all.add(member.address()));
        }
        all.remove(desk.me.address());
        Frame.JoinRequest knock = mine();
        for (String address : all) {
            desk.out.send(address, knock);
        }
    }

    private Frame.JoinRequest mine() {
        ReplicatedLog log = base();
        long commit = hand != null ? handCommit : desk.commit;
        return new Frame.JoinRequest(
                desk.me,
                desk.view == null ? Ballot.NONE : desk.view.ballot(),
                log.end(),
                log.endView(),
                Math.min(commit, log.end()));
    }

    /** The view in force; its leader says whether what is in hand is near enough. */
    void come(String from, Frame.JoinAnswer come) {
        if (!active()) {
            following.left(new Frame.NotMember(come.view()));
        }
        if (!active()) {
            return;
        }
        for (Member member : come.view().members()) {
            desk.meet(member.address());
        }
        Member leader = come.view().leader();
        // the giver may be gone, and another one lead
        boolean leads = leader != null && leader.address().equals(from);
        if (leads && transfer != null && !transfer.from().equals(from) && transfer.idleMs() > IDLE_MS) {
            interrupt();
        }
        if (leader == null || come.fit() || transfer != null) {
            return;
        }
        if (!leader.address().equals(from)) {
            desk.out.send(leader.address(), mine());
            return;
        }
        if (desk.now - transferredAt < AGAIN_MS) {
            return;
        }
        transferredAt = desk.now;
        fetch(from);
    }

    private void fetch(String from) {
        if (interrupted != null) {
            transfer = interrupted;
            interrupted = null;
            transfer.resume(from, Ballot.NONE);
            return;
        }
        transfer = new StateTransfer(desk, from, base(), Ballot.NONE);
        transfer.tick();
    }

    void piece(Frame.Piece piece) {
        if (transfer == null || !transfer.piece(piece)) {
            return;
        }
        if (transfer.failed()) {
            interrupt();
            return;
        }
        if (transfer.log() != null) {
            hand = transfer.log();
            handCommit = transfer.commit();
            desk.out.tell("replication.transferred", "from", transfer.from(), "end", hand.end());
            desk.out.send(transfer.from(), mine());
        }
        transfer = null;
    }
}
