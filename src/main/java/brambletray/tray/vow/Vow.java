package brambletray.tray.vow;

import brambletray.tray.view.Member;
import brambletray.tray.view.Status;
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
 * <p>Why the old holder has stopped before a new one starts: it acts for {@link Spans#actMs} from the sending of what a
 * majority agreed to; each that agreed refuses others for {@link Spans#vacantMs} from hearing it. In one view the
 * majorities share a member. After a change of view some member of the new view had agreed in the old one, before it
 * stopped: a candidate waits for the answers of all, or until that long after it saw the view in force.
 */
public final class Vow {
    /** All frames, for registration with the codec; {@link Member} is registered by the view. */
    public static final List<Class<?>> FRAMES = List.of(
            Ballots.Plea.class,
            Ballots.Grant.class,
            Ballots.Deny.class,
            Ballots.Renew.class,
            Ballots.Agree.class,
            Ballots.Vacate.class);
    /** Terms of one view. */
    private static final int RANGE = 20;

    private static final int AGAIN_MS = 150;
    private static final int NAMED_MS = 600;
    private static final int FIRST_MS = 300;

    private final String duty;
    private final Member me;
    private final Spans spans;
    private final Out out;
    private final Voter voter;
    /**
     * The last view in which this life held the duty before its process ended, until it has won it again or has agreed to another's; 0 for none. Its
     * own lease is over with its process. Whoever won after it was granted by a majority, of that view or of a later one; a
     * view that descends from it ({@link Seat#descendsFrom}) has a member of each such majority, which refuses until that lease is over. So once all
     * of such a view have granted there is nothing to wait for.
     */
    private long resuming;

    private boolean willing = true;
    private final Seat seat = new Seat();
    private Tenure tenure;
    private long seen;
    private long doubtAt = Long.MIN_VALUE / 2;
    private long pauseUntil = Long.MIN_VALUE / 2;
    private long tickAt;
    private Ballots.Vacate farewell;
    private long farewellUntil;
    private long now;

    /** {@code kept}: what the disk has under {@link #key}, or null. */
    public Vow(String duty, Member me, byte[] kept, Spans spans, Out out, long now) {
        this.duty = duty;
        this.me = me;
        this.spans = spans;
        this.out = out;
        this.now = now;
        tickAt = now;
        voter = new Voter(duty, kept, out, spans, now);
        resuming = voter.heldBefore(me.life());
    }

    /** Key under which the grant of a duty is kept. */
    public static String key(String duty) {
        return Voter.key(duty);
    }

    /** Whether this process wants the duty; a process that is told to end does not. */
    public void willing(boolean yes) {
        willing = yes;
    }

    /** The view as it stands now; to be called at each change and at each tick. */
    public void view(Status status, long at) {
        enter(at);
        if (seat.look(status, now) && tenure != null && !tenure.won) {
            tenure = null;
        }
        leave();
    }

    /** To be called every 25 to 50 ms. */
    public void tick(long at) {
        enter(at);
        tickAt = now;
        if (tenure != null && tenure.won) {
            hold();
        } else if (tenure != null) {
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
        if (tenure != null && !tenure.won) {
            tenure = null;
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
        tenure = new Tenure(term, probe, now);
        ask();
    }

    private void ask() {
        if (!seat.in || now - tenure.since > spans.actMs()) {
            giveUp(AGAIN_MS);
            return;
        }
        if (now - tenure.saidAt < AGAIN_MS) {
            return;
        }
        Ballots.Plea plea =
                new Ballots.Plea(duty, tenure.probe, seat.view, tenure.term, tenure.next(now), me, resuming);
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
        if (tenure == null || tenure.won) {
            return;
        }
        long agreedAt = tenure.agreedAt(seat.members);
        if (now - agreedAt >= spans.actMs()) {
            return;
        }
        boolean all = tenure.all(seat.members);
        boolean quick = seat.quick(now, spans.vacantMs()) || tenure.descends;
        if (!(all && quick) && now - seat.since < spans.vacantMs()) {
            if (all && resuming != 0) {
                withdraw();
            }
            return;
        }
        if (tenure.probe) {
            begin(false);
            return;
        }
        tenure.won = true;
        resuming = 0;
        out.tell("vow.won", "duty", duty, "term", tenure.term, "view", seat.view);
        out.won(tenure.term);
        renew();
    }

    /** All would grant, but nobody knows that this view descends from the one that the duty was held in: the usual wait. */
    private void withdraw() {
        resuming = 0;
        if (tenure.probe) {
            tenure = null;
        }
    }

    private void hold() {
        boolean over = now - tenure.agreedAt(seat.members) >= spans.vacantMs();
        if (over || (seat.in && seat.rank(me.life()) < 0)) {
            lose(over ? "not renewed" : "not in the view");
            return;
        }
        if (now - tenure.saidAt >= spans.renewMs()) {
            renew();
        }
    }

    private void renew() {
        if (!seat.in) {
            return;
        }
        Ballots.Renew renew = new Ballots.Renew(duty, seat.view, tenure.term, tenure.next(now), me);
        for (Member member : seat.members) {
            if (member.life() != me.life()) {
                out.send(member.address(), renew);
            }
        }
        renew(null, renew);
    }

    private void lose(String why) {
        long term = tenure.term;
        tenure = null;
        pauseUntil = now + spans.renewMs();
        out.tell("vow.lost", "duty", duty, "term", term, "why", why);
        out.lost(term);
    }

    /** Hands the duty over, if it is held here: stops acting at once and names the next, who stands at once. */
    public void yield(long at) {
        enter(at);
        willing = false;
        if (tenure != null && tenure.won) {
            long next = 0;
            for (Member member : seat.members) {
                if (member.life() != me.life() && next == 0) {
                    next = member.life();
                }
            }
            farewell = new Ballots.Vacate(duty, tenure.term, me.life(), next);
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
        if (frame instanceof Ballots ballots && ballots.duty().equals(duty)) {
            hear(from, ballots);
        }
        leave();
    }

    private void hear(String from, Ballots frame) {
        if (frame instanceof Ballots.Plea plea) {
            plea(from, plea);
        } else if (frame instanceof Ballots.Renew renew) {
            renew(from, renew);
        } else if (frame instanceof Ballots.Grant grant) {
            if (tenure != null && tenure.term == grant.term() && tenure.probe == grant.probe()) {
                tenure.agree(grant.life(), grant.seq());
                tenure.descends |= grant.descends() && resuming != 0;
                count();
            }
        } else if (frame instanceof Ballots.Agree agree) {
            if (tenure != null && tenure.won && tenure.term == agree.term()) {
                tenure.agree(agree.life(), agree.seq());
            }
        } else if (frame instanceof Ballots.Deny deny) {
            denied(deny);
        } else if (frame instanceof Ballots.Vacate vacate) {
            if (voter.vacate(vacate.term(), vacate.life(), vacate.next(), now) && vacate.next() == me.life()) {
                pauseUntil = now;
                if (tenure == null && seat.in && willing) {
                    stand();
                }
            }
        }
    }

    private void denied(Ballots.Deny deny) {
        seen = Math.max(seen, deny.granted() >>> RANGE <= seat.view ? deny.granted() : 0);
        if (tenure == null || tenure.won || tenure.term != deny.term() || !tenure.refuse(deny.life(), seat.members)) {
            return;
        }
        giveUp(Math.max(20, Math.min(deny.remainingMs(), AGAIN_MS)));
    }

    /** Stands no more for now; whoever granted needn't hold the duty taken. */
    private void giveUp(int pauseMs) {
        if (!tenure.probe) {
            Ballots.Vacate vacate = new Ballots.Vacate(duty, tenure.term, me.life(), 0);
            voter.vacate(tenure.term, me.life(), 0, now);
            for (Member member : seat.members) {
                if (member.life() != me.life()) {
                    out.send(member.address(), vacate);
                }
            }
        }
        tenure = null;
        pauseUntil = now + pauseMs + (long) Math.max(0, seat.rank(me.life())) * spans.staggerMs() / 2;
    }

    private void plea(String from, Ballots.Plea plea) {
        if (!seat.in || plea.view() != seat.view) {
            return;
        }
        Member who = plea.from();
        if (!voter.would(plea.term(), who.life(), now)) {
            if (from != null) {
                out.send(from, new Ballots.Deny(duty, plea.term(), voter.granted(), voter.remaining(now), me.life()));
            } else if (tenure != null && !tenure.won) {
                giveUp(AGAIN_MS);
            }
            return;
        }
        boolean better = from != null && tenure != null && tenure.probe && seat.rank(who.life()) < seat.rank(me.life());
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

    private void grant(String from, Ballots.Plea plea) {
        boolean descends = plea.heldIn() != 0 && seat.descendsFrom(plea.heldIn());
        Ballots.Grant grant = new Ballots.Grant(duty, plea.probe(), plea.term(), plea.seq(), me.life(), descends);
        if (from != null) {
            out.send(from, grant);
        } else {
            hear(null, grant);
        }
    }

    private void renew(String from, Ballots.Renew renew) {
        if (!seat.in || renew.view() != seat.view) {
            return;
        }
        Ballots.Agree agree = new Ballots.Agree(duty, renew.term(), renew.seq(), me.life());
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
            out.send(from, new Ballots.Deny(duty, renew.term(), voter.granted(), 0, me.life()));
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
        if (tenure == null || !tenure.won || at - tickAt > spans.sleepMs()) {
            return false;
        }
        long agreedAt = tenure.agreedAt(seat.members);
        return agreedAt >= doubtAt && at - agreedAt < spans.actMs();
    }

    /**
     * Something outside the core has seen this term, or refused the one that is held here (fencing). A lower one that
     * is held here may act again only once a majority has agreed to it anew: who has been succeeded never is agreed to,
     * and a false word costs one round.
     */
    public void doubt(long higher, long at) {
        enter(at);
        if (tenure != null && tenure.won && higher > tenure.term) {
            out.tell("vow.doubt", "duty", duty, "term", tenure.term, "seen", higher);
            doubtAt = now;
            renew();
        }
        leave();
    }

    /**
     * Who has the duty as far as known here, or null. Itself only while it may act: that it has agreed to its own lease
     * is no lease.
     */
    public Holder holder(long at) {
        if (tenure != null && tenure.won) {
            return mayAct(at) ? new Holder(tenure.term, me) : null;
        }
        Holder other = voter.holder(at);
        return other == null || other.member().life() == me.life() ? null : other;
    }
}
