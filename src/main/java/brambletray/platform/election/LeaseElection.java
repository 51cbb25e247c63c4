package brambletray.platform.election;

import brambletray.platform.replication.Member;
import brambletray.platform.replication.ReplicaStatus;
import java.util.List;

/**
 * One duty, held by at most one member of the view in force, under a term that only grows. Pure; one thread only.
 *
 * <p>Why terms only grow: a term lies in the range of the view that it was asked in, {@code number << 20} and up, and a
 * voter grants it only while that view is its own and in force. Numbers of views in force grow over restarts and lost
 * disks (see the page of the view), so terms of different views are in order. Within one view any two majorities share
 * a member, which keeps the highest granted term on its disk before it says so and refuses lower and equal ones; a
 * member that loses its disk is out of that view. So nothing goes through the one order for it.
 *
 * <p>Why the old holder has stopped before a new one starts: it acts for {@link LeaseTimings#actMs} from the sending of
 * what a
 * majority agreed to; each that agreed refuses others for {@link LeaseTimings#vacantMs} from hearing it. In one view
 * the
 * majorities share a member. After a change of view some member of the new view had agreed in the old one, before it
 * stopped: a candidate waits for the answers of all, or until that long after it saw the view in force.
 */
public final class LeaseElection {
    /** All frames, for registration with the codec; {@link Member} is registered by the view. */
    public static final List<Class<?>> FRAMES = List.of(
            ElectionMessages.Plea.class,
            ElectionMessages.Grant.class,
            ElectionMessages.Deny.class,
            ElectionMessages.Renew.class,
            ElectionMessages.Agree.class,
            ElectionMessages.Vacate.class);
    /** Terms of one view. */
    private static final int RANGE = 20;

    private static final int AGAIN_MS = 150;
    private static final int NAMED_MS = 600;
    private static final int FIRST_MS = 300;

    private final String duty;
    private final Member me;
    private final LeaseTimings spans;
    private final ElectionActions out;
    private final LeaseVoter voter;
    /**
     * The last view in which this life held the duty before its process ended, until it has won it again or has agreed
     * to another's; 0 for none. Its
     * own lease is over with its process. Whoever won after it was granted by a majority, of that view or of a later
     * one; a
     * view that descends from it ({@link ElectionView#descendsFrom}) has a member of each such majority, which refuses
     * until that lease is over. So once all
     * of such a view have granted there is nothing to wait for.
     */
    private long resuming;

    private boolean willing = true;
    private final ElectionView seat = new ElectionView();
    private Lease lease;
    private long seen;
    private long doubtAt = Long.MIN_VALUE / 2;
    private long pauseUntil = Long.MIN_VALUE / 2;
    private long tickAt;
    private ElectionMessages.Vacate farewell;
    private long farewellUntil;
    private long now;

    /** {@code kept}: what the disk has under {@link #key}, or null. */
    public LeaseElection(String duty, Member me, byte[] kept, LeaseTimings spans, ElectionActions out, long now) {
        this.duty = duty;
        this.me = me;
        this.spans = spans;
        this.out = out;
        this.now = now;
        tickAt = now;
        voter = new LeaseVoter(duty, kept, out, spans, now);
        resuming = voter.heldBefore(me.life());
    }

    /** Key under which the grant of a duty is kept. */
    public static String key(String duty) {
        return LeaseVoter.key(duty);
    }

    /** Whether this process wants the duty; a process that is told to end does not. */
    public void willing(boolean yes) {
        willing = yes;
    }

    /** The view as it stands now; to be called at each change and at each tick. */
    public void view(ReplicaStatus status, long at) {
        enter(at);
        if (seat.look(status, now) && lease != null && !lease.won) {
            lease = null;
        }
        leave();
    }

    /** To be called every 25 to 50 ms. */
    public void tick(long at) {
        enter(at);
        tickAt = now;
        if (lease != null && lease.won) {
            hold();
        } else if (lease != null) {
            ask();
        } else if (seat.in && willing && farewell == null) {
            stand();
        }
        if (farewell != null) {
            bid();
        }
        leave();
    }

    private void enter(long at) {
        now = Math.max(now, at);
        if (now - tickAt <= spans.sleepMs()) {
            return;
        }
        tickAt = now;
        doubtAt = now;
        if (lease != null && !lease.won) {
            lease = null;
        }
    }

    private void leave() {
        voter.flush(now);
    }

    private void stand() {
        if (now < pauseUntil) {
            return;
        }
        if (resuming != 0) {
            begin(true);
            return;
        }
        if (voter.remaining(now) > 0) {
            return;
        }
        int rank = seat.rank(me.life());
        if (rank < 0) {
            return;
        }
        long wait = (long) rank * spans.staggerMs();
        if (voter.named() != 0) {
            wait = voter.named() == me.life() ? 0 : NAMED_MS + wait;
        } else if (voter.granted() == 0 && rank > 0) {
            wait += FIRST_MS;
        }
        long since = seat.quick(now, spans.vacantMs()) ? seat.since : seat.since + spans.vacantMs();
        if (now - Math.max(voter.vacantSince(), since) >= wait) {
            begin(true);
        }
    }

    private void begin(boolean probe) {
        long term = Math.max(Math.max(voter.granted(), seen), seat.view << RANGE) + 1;
        if (term >= (seat.view + 1) << RANGE) {
            return;
        }
        lease = new Lease(term, probe, now);
        ask();
    }

    private void ask() {
        if (!seat.in || now - lease.since > spans.actMs()) {
            giveUp(AGAIN_MS);
            return;
        }
        if (now - lease.saidAt < AGAIN_MS) {
            return;
        }
        ElectionMessages.Plea plea =
                new ElectionMessages.Plea(duty, lease.probe, seat.view, lease.term, lease.next(now), me, resuming);
        for (Member member : seat.members) {
            if (member.life() != me.life()) {
                out.send(member.address(), plea);
            }
        }
        plea(null, plea);
    }

    /**
     * Counts grants. A majority is enough once leases of earlier views have surely ended. Before that all must have
     * granted, and the view must follow at once on one that was in force here for as long: some member of this view had
     * then agreed to any lease that still runs, and would have refused.
     */
    private void count() {
        if (lease == null || lease.won) {
            return;
        }
        long agreedAt = lease.agreedAt(seat.members);
        if (now - agreedAt >= spans.actMs()) {
            return;
        }
        boolean all = lease.all(seat.members);
        boolean quick = seat.quick(now, spans.vacantMs()) || lease.descends;
        if (!(all && quick) && now - seat.since < spans.vacantMs()) {
            if (all && resuming != 0) {
                withdraw();
            }
            return;
        }
        if (lease.probe) {
            begin(false);
            return;
        }
        lease.won = true;
        resuming = 0;
        out.tell("election.won", "duty", duty, "term", lease.term, "view", seat.view);
        out.won(lease.term);
        renew();
    }

    /**
     * All would grant, but nobody knows that this view descends from the one that the duty was held in: the usual wait.
     */
    private void withdraw() {
        resuming = 0;
        if (lease.probe) {
            lease = null;
        }
    }

    private void hold() {
        boolean over = now - lease.agreedAt(seat.members) >= spans.vacantMs();
        if (over || (seat.in && seat.rank(me.life()) < 0)) {
            lose(over ? "not renewed" : "not in the view");
            return;
        }
        if (now - lease.saidAt >= spans.renewMs()) {
            renew();
        }
    }

    private void renew() {
        if (!seat.in) {
            return;
        }
        ElectionMessages.Renew renew = new ElectionMessages.Renew(duty, seat.view, lease.term, lease.next(now), me);
        for (Member member : seat.members) {
            if (member.life() != me.life()) {
                out.send(member.address(), renew);
            }
        }
        renew(null, renew);
    }

    private void lose(String why) {
        long term = lease.term;
        lease = null;
        pauseUntil = now + spans.renewMs();
        out.tell("election.lost", "duty", duty, "term", term, "why", why);
        out.lost(term);
    }

    /** Hands the duty over, if it is held here: stops acting at once and names the next, who stands at once. */
    public void yield(long at) {
        enter(at);
        willing = false;
        if (lease != null && lease.won) {
            long next = 0;
            for (Member member : seat.members) {
                if (member.life() != me.life() && next == 0) {
                    next = member.life();
                }
            }
            farewell = new ElectionMessages.Vacate(duty, lease.term, me.life(), next);
            farewellUntil = now + spans.actMs();
            lose("handed over");
            bid();
        }
        leave();
    }

    private void bid() {
        voter.vacate(farewell.term(), farewell.life(), farewell.next(), now);
        for (Member member : seat.members) {
            if (member.life() != me.life()) {
                out.send(member.address(), farewell);
            }
        }
        if (now >= farewellUntil) {
            farewell = null;
        }
    }

    /** A frame from the member at this address. */
    public void heard(String from, Object frame, long at) {
        enter(at);
        if (frame instanceof ElectionMessages ballots && ballots.duty().equals(duty)) {
            hear(from, ballots);
        }
        leave();
    }

    private void hear(String from, ElectionMessages frame) {
        if (frame instanceof ElectionMessages.Plea plea) {
            plea(from, plea);
        } else if (frame instanceof ElectionMessages.Renew renew) {
            renew(from, renew);
        } else if (frame instanceof ElectionMessages.Grant grant) {
            if (lease != null && lease.term == grant.term() && lease.probe == grant.probe()) {
                lease.agree(grant.life(), grant.seq());
                lease.descends |= grant.descends() && resuming != 0;
                count();
            }
        } else if (frame instanceof ElectionMessages.Agree agree) {
            if (lease != null && lease.won && lease.term == agree.term()) {
                lease.agree(agree.life(), agree.seq());
            }
        } else if (frame instanceof ElectionMessages.Deny deny) {
            denied(deny);
        } else if (frame instanceof ElectionMessages.Vacate vacate) {
            if (voter.vacate(vacate.term(), vacate.life(), vacate.next(), now) && vacate.next() == me.life()) {
                pauseUntil = now;
                if (lease == null && seat.in && willing) {
                    stand();
                }
            }
        }
    }

    private void denied(ElectionMessages.Deny deny) {
        seen = Math.max(seen, deny.granted() >>> RANGE <= seat.view ? deny.granted() : 0);
        if (lease == null || lease.won || lease.term != deny.term() || !lease.refuse(deny.life(), seat.members)) {
            return;
        }
        giveUp(Math.max(20, Math.min(deny.remainingMs(), AGAIN_MS)));
    }

    /** Stands no more for now; whoever granted needn't hold the duty taken. */
    private void giveUp(int pauseMs) {
        if (!lease.probe) {
            ElectionMessages.Vacate vacate = new ElectionMessages.Vacate(duty, lease.term, me.life(), 0);
            voter.vacate(lease.term, me.life(), 0, now);
            for (Member member : seat.members) {
                if (member.life() != me.life()) {
                    out.send(member.address(), vacate);
                }
            }
        }
        lease = null;
        pauseUntil = now + pauseMs + (long) Math.max(0, seat.rank(me.life())) * spans.staggerMs() / 2;
    }

    private void plea(String from, ElectionMessages.Plea plea) {
        if (!seat.in || plea.view() != seat.view) {
            return;
        }
        Member who = plea.from();
        if (!voter.would(plea.term(), who.life(), now)) {
            if (from != null) {
                out.send(
                        from,
                        new ElectionMessages.Deny(duty, plea.term(), voter.granted(), voter.remaining(now), me.life()));
            } else if (lease != null && !lease.won) {
                giveUp(AGAIN_MS);
            }
            return;
        }
        boolean better = from != null && lease != null && lease.probe && seat.rank(who.life()) < seat.rank(me.life());
        if (better) {
            giveUp(2 * spans.staggerMs());
        }
        if (!plea.probe() && from != null) {
            resuming = 0;
        }
        if (plea.probe()) {
            grant(from, plea);
        } else {
            voter.grant(plea.term(), who, now, () -> grant(from, plea));
        }
    }

    private void grant(String from, ElectionMessages.Plea plea) {
        boolean descends = plea.heldIn() != 0 && seat.descendsFrom(plea.heldIn());
        ElectionMessages.Grant grant =
                new ElectionMessages.Grant(duty, plea.probe(), plea.term(), plea.seq(), me.life(), descends);
        if (from != null) {
            out.send(from, grant);
        } else {
            hear(null, grant);
        }
    }

    private void renew(String from, ElectionMessages.Renew renew) {
        if (!seat.in || renew.view() != seat.view) {
            return;
        }
        ElectionMessages.Agree agree = new ElectionMessages.Agree(duty, renew.term(), renew.seq(), me.life());
        boolean yes = voter.renew(renew.view(), renew.term(), renew.from(), now, () -> {
            if (from != null) {
                out.send(from, agree);
            } else {
                hear(null, agree);
            }
        });
        if (yes && from != null) {
            resuming = 0;
        }
        if (!yes && from != null) {
            out.send(from, new ElectionMessages.Deny(duty, renew.term(), voter.granted(), 0, me.life()));
        }
    }

    /** The grant of this ticket is kept. */
    public void synced(long ticket, long at) {
        enter(at);
        voter.synced(ticket);
        leave();
    }

    /** It isn't; it will be tried again. */
    public void syncFailed(long ticket, long at) {
        enter(at);
        voter.failed(ticket, now);
        leave();
    }

    /** Whether this process may act under its term at this moment: to be asked right before each act. */
    public boolean mayAct(long at) {
        if (lease == null || !lease.won || at - tickAt > spans.sleepMs()) {
            return false;
        }
        long agreedAt = lease.agreedAt(seat.members);
        return agreedAt >= doubtAt && at - agreedAt < spans.actMs();
    }

    /**
     * Something outside the core has seen this term, or refused the one that is held here (fencing). A lower one that
     * is held here may act again only once a majority has agreed to it anew: who has been succeeded never is agreed to,
     * and a false word costs one round.
     */
    public void doubt(long higher, long at) {
        enter(at);
        if (lease != null && lease.won && higher > lease.term) {
            out.tell("election.doubt", "duty", duty, "term", lease.term, "seen", higher);
            doubtAt = now;
            renew();
        }
        leave();
    }

    /**
     * Who has the duty as far as known here, or null. Itself only while it may act: that it has agreed to its own lease
     * is no lease.
     */
    public LeaseHolder holder(long at) {
        if (lease != null && lease.won) {
            return mayAct(at) ? new LeaseHolder(lease.term, me) : null;
        }
        LeaseHolder other = voter.holder(at);
        return other == null || other.member().life() == me.life() ? null : other;
    }
}
