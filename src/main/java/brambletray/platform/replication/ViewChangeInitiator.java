package brambletray.platform.replication;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides when this member starts a view change: as the leader, to leave out members that are silent or slow, and to
 * let newcomers in and leavers out; as a follower, to take over from a leader that is silent or leaving.
 */
final class ViewChangeInitiator {
    private final ReplicaState state;
    private final RoleState roles;
    private final LeaderMonitor leaderMonitor;
    private final JoinAdmission joinAdmission;
    /** When each member first said that it is about to end, by incarnation; ms. */
    private final Map<Long, Long> leavingSinceMs = new LinkedHashMap<>();

    ViewChangeInitiator(ReplicaState state, RoleState roles, LeaderMonitor leaderMonitor, JoinAdmission joinAdmission) {
        this.state = state;
        this.roles = roles;
        this.leaderMonitor = leaderMonitor;
        this.joinAdmission = joinAdmission;
    }

    /** A follower of this leader is about to end. */
    void onFollowerLeaving(long incarnation) {
        leavingSinceMs.putIfAbsent(incarnation, state.nowMs());
    }

    /** Starts a view change if one is due; drops one that is not needed any more. */
    void tick() {
        LeaderState leader = roles.leader();
        ViewChange current = roles.viewChange();
        boolean needless = current != null
                && current.isPreparing()
                && leader == null
                && leaderMonitor.leaderIsHealthy()
                && !state.hasPromisedHigherBallot();
        if (needless) {
            roles.abandonViewChange("the leader is heard again", 0);
        }
        if (roles.viewChange() != null || state.view() == null || state.diskUnhealthy()) {
            return;
        }
        if (leader != null) {
            startAsLeader(leader);
        } else if (!state.isLeaving() && !roles.isExcluded() && leaderMonitor.electionTimeoutExpired()) {
            takeOver();
        }
    }

    private void startAsLeader(LeaderState leader) {
        Set<Long> silent = leader.silentMembers();
        Set<Long> slow = leader.slowMembers();
        if (!silent.isEmpty() || !slow.isEmpty()) {
            excludeSuspected(silent, slow);
        } else if (leader.hasSupersededMember()) {
            roles.startViewChange(Set.of(), Set.of(), "a member has stopped");
        } else if (hasRetiredMember()) {
            roles.startViewChange(Set.of(), Set.of(), "a disk is lost");
        } else if (leader.hasReachedMinViewAge()) {
            startPlanned();
        }
    }

    private void excludeSuspected(Set<Long> silent, Set<Long> slow) {
        Set<Long> suspected = new LinkedHashSet<>(silent);
        suspected.addAll(slow);
        for (long incarnation : suspected) {
            joinAdmission.penalise(state.view().memberOf(incarnation).address());
        }
        String reason = (silent.isEmpty() ? "" : "silent ") + (slow.isEmpty() ? "" : "slow");
        roles.startViewChange(suspected, slow, reason);
    }

    private boolean hasRetiredMember() {
        return state.view().members().stream()
                .anyMatch(member -> state.retiredIncarnations().contains(member.incarnation()));
    }

    private void startPlanned() {
        Set<Long> leavers = removableLeavingMembers();
        if (!joinAdmission.admitted().isEmpty()) {
            roles.startViewChange(leavers, leavers, "newcomers");
        } else if (!leavers.isEmpty() && !replacementIsCatchingUp()) {
            roles.startViewChange(leavers, leavers, "leaves");
        }
    }

    /** Starts a view change in place of a leader that is silent or about to end. */
    private void takeOver() {
        Member leader = state.view().leader();
        boolean ledByOther =
                leader != null && leader.incarnation() != state.self().incarnation();
        Set<Long> formerLeader = ledByOther ? Set.of(leader.incarnation()) : Set.of();
        if (ledByOther && leaderMonitor.leaderIsLeaving()) {
            forwardLeave(leader);
            roles.startViewChange(formerLeader, formerLeader, "leader leaves");
        } else {
            roles.startViewChange(formerLeader, Set.of(), "leader silent");
        }
    }

    /**
     * Tells the others that the leader is leaving, ahead of the prepare requests on the same links: a member that has
     * not heard it would reject them, as its leader is healthy.
     */
    private void forwardLeave(Member leader) {
        for (Member member : state.view().members()) {
            if (member.incarnation() != state.self().incarnation()) {
                state.actions()
                        .send(
                                member.address(),
                                new ReplicationMessage.LeaveRequest(state.view().ballot(), leader.incarnation()));
            }
        }
    }

    /** Members that are about to end, if the rest is a quorum that tolerates the losses; else none. */
    private Set<Long> removableLeavingMembers() {
        leavingSinceMs.keySet().removeIf(incarnation -> !state.view().contains(incarnation));
        if (leavingSinceMs.isEmpty()) {
            return Set.of();
        }
        List<Member> rest = new ArrayList<>(state.view().members());
        rest.removeIf(member -> leavingSinceMs.containsKey(member.incarnation()));
        boolean enough = state.settings().tolerance().toleratesLossWith(rest)
                && Quorum.isReached(state.view().members(), rest, state.retiredIncarnations());
        return enough ? Set.copyOf(leavingSinceMs.keySet()) : Set.of();
    }

    /**
     * Whether a leaver stays because its replacement is catching up: for half of the time that the leaver has, at most.
     */
    private boolean replacementIsCatchingUp() {
        for (long sinceMs : leavingSinceMs.values()) {
            if (2 * (state.nowMs() - sinceMs) > state.settings().leaveTimeoutMs()) {
                return false;
            }
        }
        return joinAdmission.hasNewcomersCatchingUp();
    }
}
