package brambletray.platform.replication;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One attempt to change the view, at the member that begins it: ask, promise, fetch the longest log, install. It ends
 * with a view in force that this member leads, or is given up for a higher ballot.
 */
final class ViewChange {
    private static final int AGAIN_MS = 100;
    /** Fetching goes on while pieces come, but not longer than this: on a link of 2 Mbit/s enough for 7 MB. */
    private static final int FETCH_MS = 30_000;
    /**
     * Silence after which a member that fetches the new view's log isn't waited for: longer than its disk may take for
     * the last piece.
     */
    private static final int PULLED_MS = 2000;

    private static final int MOST_PAST = 64;

    private enum Phase {
        ASKING,
        PROMISING,
        FETCHING,
        INSTALLING
    }

    private final MemberState desk;
    private final Replica members;
    private final Ballot ballot;
    private final Set<Long> doubted;
    private final Set<Long> shunned;
    private final Map<Long, Frame.JoinRequest> newcomers;
    private final Map<String, Member> asked = new LinkedHashMap<>();
    private final Map<Long, Frame.StopAnswer> tolds = new LinkedHashMap<>();
    private final Set<Long> calm = new HashSet<>();
    private final Set<Long> installed = new HashSet<>();
    private final long since;
    private Phase phase = Phase.ASKING;
    private long enoughAt = -1;
    private long askedAt;
    private long phaseAt;
    private long pulledAt = Long.MIN_VALUE / 2;
    private StateTransfer transfer;
    private View next;
    private StopAnswers chosen;
    private ReplicatedLog base;

    /** {@code doubted} aren't waited for; {@code shunned} are left out if the rest is enough. */
    ViewChange(
            MemberState desk,
            Replica members,
            Set<Long> doubted,
            Set<Long> shunned,
            Map<Long, Frame.JoinRequest> newcomers,
            String why) {
        this.desk = desk;
        this.members = members;
        this.doubted = doubted;
        this.shunned = shunned;
        this.newcomers = newcomers;
        this.since = desk.now;
        desk.seen = Math.max(desk.seen, Math.max(desk.promised.number(), desk.view.number())) + 1;
        ballot = new Ballot(desk.seen, desk.me.life());
        desk.out.tell(
                "replication.change",
                "ballot",
                ballot,
                "view",
                desk.view.ballot(),
                "why",
                why,
                "newcomers",
                newcomers.size(),
                "end",
                desk.log.end());
        ask(desk.view);
        stop();
        weigh();
    }

    Ballot ballot() {
        return ballot;
    }

    /** Whether it may still be dropped without a trace: nothing was promised to itself. */
    boolean asking() {
        return phase == Phase.ASKING;
    }

    private void ask(View view) {
        for (ViewMembership roll : view.chain(view == desk.view && desk.inForce)) {
            for (Member member : roll.members()) {
                if (!member.address().equals(desk.me.address())) {
                    asked.putIfAbsent(member.address(), member);
                }
            }
        }
    }

    private void stop() {
        askedAt = desk.now;
        StopAnswers now = answers();
        for (String address : asked.keySet()) {
            if (!now.heard(address)) {
                desk.out.send(address, new Frame.StopRequest(ballot, desk.me, List.copyOf(desk.dead)));
            }
        }
    }

    void told(Frame.StopAnswer told) {
        boolean open = phase == Phase.ASKING || phase == Phase.PROMISING;
        if (!open || !told.ballot().equals(ballot) || told.me().life() == desk.me.life()) {
            return;
        }
        if (tolds.put(told.me().life(), told) == null) {
            desk.out.tell(
                    "replication.told",
                    "ballot",
                    ballot,
                    "by",
                    told.me().name(),
                    "view",
                    told.view().ballot(),
                    "inForce",
                    told.inForce(),
                    "end",
                    told.end(),
                    "ill",
                    told.ill());
        }
        int before = asked.size();
        ask(told.view());
        if (desk.bury(told.dead()) || asked.size() > before) {
            stop();
        }
        weigh();
    }

    void nay(Frame.Refuse nay, String from) {
        if (!nay.ballot().equals(ballot)) {
            return;
        }
        desk.seen = Math.max(desk.seen, nay.promised().number());
        if (nay.promised().above(ballot) || nay.promised().number() >= ballot.number() && !nay.calm()) {
            members.drop("promised " + nay.promised(), (long) (1 + members.rank()) * desk.set.staggerMs());
        } else if (nay.calm()) {
            Member who = asked.get(from);
            if (who != null) {
                calm.add(who.life());
            }
            if (phase == Phase.ASKING && 2 * calm.size() >= desk.view.members().size()) {
                members.drop("the leader is well", desk.set.silentMs());
            }
        }
    }

    /** All that was told, with what this member would say itself. */
    private StopAnswers answers() {
        List<Frame.StopAnswer> all = new ArrayList<>();
        all.add(desk.told(ballot));
        all.addAll(tolds.values());
        return new StopAnswers(all);
    }

    /** Goes on when enough have answered and the others have been waited for. */
    private void weigh() {
        StopAnswers now = answers();
        if (!now.enough()) {
            enoughAt = -1;
            return;
        }
        if (enoughAt < 0) {
            enoughAt = desk.now;
        }
        if (phase == Phase.PROMISING) {
            return;
        }
        int wait = now.top.founding()
                ? desk.set.foundMs()
                : members.fresh() ? 3 * desk.set.gatherMs() : desk.set.gatherMs();
        if (desk.now - enoughAt < wait && missing(now)) {
            return;
        }
        phase = Phase.PROMISING;
        phaseAt = desk.now;
        members.stopLeading();
        desk.promise(ballot);
        desk.writeAheadQueue.then(() -> {
            if (members.changing() == this && desk.promised.equals(ballot)) {
                choose();
            }
        });
    }

    private boolean missing(StopAnswers now) {
        for (Member member : asked.values()) {
            if (!now.heard(member.address())
                    && !doubted.contains(member.life())
                    && !desk.dead.contains(member.life())) {
                return true;
            }
        }
        return false;
    }

    /** Promised: what was told until now is final, as all who told have stopped; what is told later doesn't count. */
    private void choose() {
        chosen = answers();
        if (!chosen.enough()) {
            phase = Phase.ASKING;
            return;
        }
        Frame.StopAnswer longest = chosen.longest();
        phaseAt = desk.now;
        if (longest.me().life() == desk.me.life()) {
            install(desk.log);
            return;
        }
        phase = Phase.FETCHING;
        transfer = new StateTransfer(desk, longest.me().address(), desk.log, Ballot.NONE);
        transfer.tick();
    }

    void piece(Frame.Piece piece) {
        if (phase != Phase.FETCHING || !transfer.piece(piece)) {
            return;
        }
        ReplicatedLog fetched = transfer.log();
        Frame.StopAnswer longest = chosen.longest();
        // who told may have gone on to a higher ballot, and its log with it
        boolean same = fetched != null
                && fetched.end() == longest.end()
                && fetched.endView().equals(longest.endView());
        if (same) {
            install(fetched);
        } else {
            members.drop("log can't be fetched", desk.set.staggerMs());
        }
    }

    private void install(ReplicatedLog log) {
        List<Member> in = chosen.next(shunned, desk.set.tolerance());
        for (Frame.JoinRequest knock : newcomers.values()) {
            boolean free = in.stream()
                    .noneMatch(member -> member.address().equals(knock.me().address()));
            // who has fallen behind since it knocked gets the rest outside of the change, and knocks again
            boolean near =
                    log.since(knock.end(), knock.endView(), knock.commit()).isShort();
            if (free
                    && near
                    && in.size() < ReplicationSettings.MOST
                    && !desk.dead.contains(knock.me().life())) {
                in.add(knock.me());
            }
        }
        List<ViewMembership> past = chosen.past();
        if (past.size() > MOST_PAST) {
            members.drop("too many unfinished views", desk.set.silentMs());
            return;
        }
        phase = Phase.INSTALLING;
        base = log;
        next = new View(ballot, List.copyOf(in), List.copyOf(past));
        phaseAt = desk.now;
        desk.out.tell(
                "replication.install",
                "ballot",
                ballot,
                "members",
                MemberState.names(in),
                "end",
                log.end(),
                "from",
                chosen.top.ballot());
        say();
        if (next.members().size() == 1) {
            keep();
        }
    }

    /**
     * All others have kept it. This member comes last: while it hasn't, the view can't be in force, and an attempt that
     * fails binds nobody to it.
     */
    private void keep() {
        if (desk.view.ballot().equals(ballot)) {
            return;
        }
        if (!desk.accept(next, base)) {
            members.drop("trim behind what is kept", desk.set.silentMs());
            return;
        }
        members.accepted();
        desk.writeAheadQueue.then(() -> {
            if (members.changing() == this && desk.works(ballot)) {
                installed(desk.me.life());
            }
        });
    }

    private void say() {
        askedAt = desk.now;
        for (Member member : next.members()) {
            if (member.life() == desk.me.life() || installed.contains(member.life())) {
                continue;
            }
            Frame.StopAnswer told = chosen.of(member.life());
            Frame.JoinRequest knock = newcomers.get(member.life());
            LogPatch patch = told != null
                    ? base.since(told.end(), told.endView(), told.commit())
                    : base.since(knock.end(), knock.endView(), knock.commit());
            Frame frame = patch.isShort()
                    ? new Frame.Install(next, patch)
                    : new Frame.TransferOffer(next, base.end(), base.endView());
            desk.out.send(member.address(), frame);
        }
    }

    /** The log of the view of this name, which a member fetches in pieces; null if it isn't being installed. */
    ReplicatedLog offered(Ballot view) {
        if (phase != Phase.INSTALLING || !ballot.equals(view)) {
            return null;
        }
        pulledAt = desk.now;
        return base;
    }

    void installed(long life) {
        if (phase != Phase.INSTALLING || !next.has(life) || !installed.add(life)) {
            return;
        }
        if (installed.size() == next.members().size() - 1 && !installed.contains(desk.me.life())) {
            keep();
        }
        if (installed.size() < next.members().size()) {
            return;
        }
        List<String> out = new ArrayList<>();
        for (Member member : asked.values()) {
            if (next.at(member.address()) == null) {
                out.add(member.address());
            }
        }
        desk.out.tell("replication.installed", "ballot", ballot, "ms", desk.now - since);
        members.lead(out);
    }

    void unfit(long life) {
        if (phase == Phase.INSTALLING && next.has(life)) {
            members.again(Set.of(life), "patch of " + Long.toHexString(life) + " doesn't fit");
        }
    }

    void tick() {
        switch (phase) {
            case ASKING, PROMISING -> {
                if (desk.now - askedAt >= AGAIN_MS) {
                    stop();
                }
                if (phase == Phase.ASKING) {
                    weigh();
                }
            }
            case FETCHING -> {
                if (transfer.failed() || desk.now - phaseAt > FETCH_MS) {
                    members.drop("log isn't fetched in time", desk.set.staggerMs());
                } else {
                    transfer.tick();
                }
            }
            default -> {
                if (desk.now - phaseAt > desk.set.installMs() && (spared() || desk.now - pulledAt > PULLED_MS)) {
                    members.again(absent(), "not kept by all in time");
                } else if (desk.now - askedAt >= 2 * AGAIN_MS) {
                    say();
                }
            }
        }
    }

    /** Whether the view may do without those that haven't kept it. */
    private boolean spared() {
        Set<Long> absent = absent();
        Set<Long> out = new HashSet<>(shunned);
        out.addAll(absent);
        return chosen.next(out, desk.set.tolerance()).stream().noneMatch(member -> absent.contains(member.life()));
    }

    /** Others that haven't kept it; none when it is this member's own disk that is slow. */
    private Set<Long> absent() {
        Set<Long> absent = new HashSet<>();
        for (Member member : next.members()) {
            if (!installed.contains(member.life())) {
                absent.add(member.life());
            }
        }
        absent.remove(desk.me.life());
        return absent;
    }
}
