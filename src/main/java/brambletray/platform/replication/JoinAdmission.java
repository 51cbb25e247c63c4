package brambletray.platform.replication;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Who asks to be let in, at a member of the view: proves lost disks, and gathers newcomers for the leader's next change
 * of view.
 */
final class JoinAdmission {
    private static final int NEAR_ENTRIES = 64;
    private static final int MOST = 8;
    private static final int WAIT_MS = 1000;
    private static final int FORGIVEN_MS = 20_000;

    /** How often a member was taken out lately, and until when it stays out. */
    private record Penalty(int times, long at, long until) {}

    private final MemberState desk;
    private final Replica members;
    private final Map<Long, Frame.JoinRequest> waiting = new LinkedHashMap<>();
    private final Map<Long, Long> waitingAt = new HashMap<>();
    /** When newcomers that haven't got the state yet were heard last. */
    private final Map<Long, Long> arriving = new HashMap<>();

    private final Map<String, Penalty> penalties = new HashMap<>();
    private final Map<String, Long> asked = new HashMap<>();
    private long nonce;

    JoinAdmission(MemberState desk, Replica members) {
        this.desk = desk;
        this.members = members;
        nonce = desk.origin;
    }

    void knock(String from, Frame.JoinRequest knock) {
        Member who = knock.me();
        if (desk.dead.contains(who.life()) || who.life() == desk.me.life()) {
            return;
        }
        if (desk.view != null) {
            challenge(who);
        }
        if (desk.view == null || !desk.inForce || members.fallen() || desk.view.founding()) {
            if (!desk.known.isEmpty()) {
                desk.out.send(from, new Frame.KnownMembers(List.copyOf(desk.known)));
            }
            return;
        }
        if (desk.view.has(who.life())) {
            return;
        }
        if (knock.view().above(desk.view.ballot())) {
            desk.seen = Math.max(desk.seen, knock.view().number());
        }
        if (!members.leading()) {
            if (desk.view.ballot().who() != desk.me.life()) {
                desk.out.send(from, new Frame.JoinAnswer(desk.view, false));
            }
            return;
        }
        boolean fit = near(desk.log.since(knock.end(), knock.endView(), knock.commit()));
        desk.out.send(from, new Frame.JoinAnswer(desk.view, fit));
        if (!fit) {
            if (arriving.size() < MOST) {
                arriving.put(who.life(), desk.now);
            }
            return;
        }
        arriving.remove(who.life());
        Penalty penalty = penalties.get(who.address());
        if (penalty != null && desk.now < penalty.until()) {
            return;
        }
        if (waiting.size() >= MOST && !waiting.containsKey(who.life())) {
            return;
        }
        waiting.put(who.life(), knock);
        waitingAt.put(who.life(), desk.now);
    }

    private static boolean near(LogPatch patch) {
        return patch.entries().size() <= NEAR_ENTRIES && patch.isShort();
    }

    /** Another life at the address of one of ours: asked who it is now, so that an old frame proves nothing. */
    private void challenge(Member who) {
        if (!older(who)) {
            return;
        }
        if (asked.size() > MOST) {
            asked.clear();
        }
        asked.put(who.address(), ++nonce);
        desk.out.send(who.address(), new Frame.IdentityRequest(nonce));
    }

    private boolean older(Member who) {
        for (ViewMembership roll : desk.view.chain(false)) {
            for (Member member : roll.members()) {
                if (proves(who, member)) {
                    return true;
                }
            }
        }
        return false;
    }

    private boolean proves(Member now, Member before) {
        return before.address().equals(now.address())
                && before.life() != now.life()
                && before.life() != 0
                && before.life() != desk.me.life()
                && !desk.dead.contains(before.life());
    }

    void here(Frame.IdentityAnswer here) {
        Long mine = asked.get(here.me().address());
        if (mine == null || mine != here.nonce() || desk.view == null) {
            return;
        }
        asked.remove(here.me().address());
        java.util.Set<Long> lost = new java.util.LinkedHashSet<>();
        for (ViewMembership roll : desk.view.chain(false)) {
            for (Member member : roll.members()) {
                if (proves(here.me(), member)) {
                    lost.add(member.life());
                }
            }
        }
        if (desk.bury(lost)) {
            desk.out.tell(
                    "replication.disk-lost",
                    "address",
                    here.me().address(),
                    "life",
                    Long.toHexString(here.me().life()),
                    "lost",
                    lost);
            members.buried();
        }
    }

    /** A member has been taken out for trouble: each further time within a while it waits longer to be let in again. */
    void penalise(String address) {
        Penalty old = penalties.get(address);
        int times = old == null || desk.now - old.at() > FORGIVEN_MS ? 1 : old.times() + 1;
        long wait = times <= 2 ? 0 : Math.min(4000, 250L << Math.min(times - 2, 4));
        if (penalties.size() > 32) {
            penalties.clear();
        }
        penalties.put(address, new Penalty(times, desk.now, desk.now + wait));
    }

    /** Newcomers that wait and were heard of late. */
    Map<Long, Frame.JoinRequest> waiting() {
        if (waiting.isEmpty()) {
            return Map.of();
        }
        waiting.keySet()
                .removeIf(life ->
                        desk.now - waitingAt.get(life) > WAIT_MS || desk.view.has(life) || desk.dead.contains(life));
        // changes and compactions since the knock: a change of view that can't let it in isn't begun for it
        waiting.values().removeIf(knock -> !near(desk.log.since(knock.end(), knock.endView(), knock.commit())));
        waitingAt.keySet().retainAll(waiting.keySet());
        return new LinkedHashMap<>(waiting);
    }

    /** Whether a newcomer is on its way that hasn't got the state yet. */
    boolean expecting() {
        arriving.values().removeIf(at -> desk.now - at > WAIT_MS);
        arriving.keySet().removeIf(life -> desk.view.has(life) || desk.dead.contains(life));
        return !arriving.isEmpty();
    }

    void clear() {
        waiting.clear();
        waitingAt.clear();
        arriving.clear();
    }
}
