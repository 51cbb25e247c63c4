package brambletray.platform.replication;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;

/**
 * Asks all members of the view whether it is still theirs, so that what is read here is no older than anything
 * acknowledged before the question (a read index). A majority is enough, the leader among it, which adds up to where
 * all is kept: before a later view can acknowledge anything, a {@link Quorum} of this one has stopped for it, and a
 * quorum shares a member with every majority; that one doesn't say afterwards that the view is still its own. So one
 * silent member holds up no read and no refusal, as it does commits until it is out.
 */
final class ReadIndex {
    private static final int AGAIN_MS = 200;
    private static final int MOST = 256;

    private static final class Round {
        final long token;
        final long until;
        Ballot view;
        long seq;
        long saidAt;
        final Set<Long> same = new HashSet<>();
        long target = -1;

        Round(long token, long until) {
            this.token = token;
            this.until = until;
        }
    }

    private final MemberState desk;
    private final Replica members;
    private final List<Round> rounds = new ArrayList<>();
    private long seq;

    ReadIndex(MemberState desk, Replica members) {
        this.desk = desk;
        this.members = members;
        seq = desk.origin;
    }

    void confirm(long token) {
        if (rounds.size() >= MOST) {
            desk.out.confirmed(token, false);
            return;
        }
        Round round = new Round(token, desk.now + desk.set.proposeMs());
        rounds.add(round);
        work();
    }

    void asked(String from, Frame.ConfirmRequest ask) {
        if (!desk.works(ask.view())) {
            return;
        }
        boolean leads = members.leading();
        desk.out.send(
                from,
                new Frame.ConfirmAnswer(
                        ask.view(), desk.me.life(), ask.seq(), leads ? desk.commit : -1, leads && desk.settled()));
    }

    void same(Frame.ConfirmAnswer same) {
        for (Round round : rounds) {
            if (round.view == null || !round.view.equals(same.view()) || round.seq != same.seq()) {
                continue;
            }
            if (same.life() == same.view().who()) {
                if (!same.settled()) {
                    continue;
                }
                round.target = same.commit();
            }
            round.same.add(same.life());
        }
        work();
    }

    void work() {
        if (rounds.isEmpty()) {
            return;
        }
        boolean may = desk.view != null && desk.inForce && desk.works(desk.view.ballot()) && !members.fallen();
        List<Round> over = new ArrayList<>();
        Iterator<Round> all = rounds.iterator();
        while (all.hasNext()) {
            Round round = all.next();
            if (may) {
                ask(round);
            }
            boolean yes = may && done(round);
            if (!yes && desk.now <= round.until && !(desk.leaving && members.fallen())) {
                continue;
            }
            all.remove();
            round.target = yes ? 1 : -1;
            over.add(round);
        }
        for (Round round : over) {
            desk.out.confirmed(round.token, round.target > 0);
        }
    }

    private void ask(Round round) {
        if (!desk.view.ballot().equals(round.view)) {
            round.view = desk.view.ballot();
            round.seq = ++seq;
            round.same.clear();
            round.target = -1;
            round.saidAt = desk.now - AGAIN_MS;
        }
        if (desk.now - round.saidAt < AGAIN_MS) {
            return;
        }
        round.saidAt = desk.now;
        for (Member member : desk.view.members()) {
            if (member.life() != desk.me.life() && !round.same.contains(member.life())) {
                desk.out.send(member.address(), new Frame.ConfirmRequest(round.view, round.seq));
            }
        }
    }

    private boolean done(Round round) {
        if (2 * (round.same.size() + 1) <= desk.view.members().size()) {
            return false;
        }
        if (members.leading()) {
            return desk.settled();
        }
        return round.target >= 0 && desk.delivered >= round.target;
    }
}
