package brambletray.platform.replication;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides when this member starts a view change: as the leader, to exclude silent or slow members, to admit newcomers
 * and to release leaving members; as a follower, to take over from a leader that is silent or leaving.
 */
final class ViewChangeInitiator {
    private final ReplicaState state;
    private final RoleState roles;
    private final LeaderMonitor leaderMonitor;
    private final JoinAdmission joinAdmission;
    /** Time in ms of the first leave request of each member, by incarnation. */
    private final Map<Long, Long> leavingSinceMs = new LinkedHashMap<>();

    ViewChangeInitiator(ReplicaState state, RoleState roles, LeaderMonitor leaderMonitor, JoinAdmission joinAdmission) {
        this.state = state;
        this.roles = roles;
        this.leaderMonitor = leaderMonitor;
        this.joinAdmission = joinAdmission;
    }

    /** A follower has announced its planned shutdown to this leader. */
    void onFollowerLeaving(long incarnation) {
        leavingSinceMs.putIfAbsent(incarnation, state.nowMs());
    }

    /** Starts a view change if one is due; abandons one that is no longer needed. */
    void tick() {
        LeaderState leader = roles.leader();
        ViewChange current = roles.viewChange();
        boolean unneeded = current != null
                && current.isPreparing()
                && leader == null
                && leaderMonitor.leaderIsHealthy()
                && !state.hasPromisedHigherBallot();
        if (unneeded) {
            roles.abandonViewChange("the leader responds again", 0);
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
        Set<Long> leavingMembers = removableLeavingMembers();
        if (!joinAdmission.admitted().isEmpty()) {
            roles.startViewChange(leavingMembers, leavingMembers, "newcomers");
        } else if (!leavingMembers.isEmpty() && !replacementIsCatchingUp()) {
            roles.startViewChange(leavingMembers, leavingMembers, "leaves");
        }
    }

    /** Starts a view change to replace a leader that is silent or leaving. */
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
     * Forwards the leader's leave request to the others, ahead of the prepare requests on the same connections: a
     * member unaware of it would reject them because its leader is healthy.
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

    /** The leaving members, if the others are a quorum with the configured fault tolerance; else none. */
    private Set<Long> removableLeavingMembers() {
        leavingSinceMs.keySet().removeIf(incarnation -> !state.view().contains(incarnation));
        if (leavingSinceMs.isEmpty()) {
            return Set.of();
        }
        List<Member> remaining = new ArrayList<>(state.view().members());
        remaining.removeIf(member -> leavingSinceMs.containsKey(member.incarnation()));
        boolean sufficient = state.settings().tolerance().toleratesLossWith(remaining)
                && Quorum.isReached(state.view().members(), remaining, state.retiredIncarnations());
        return sufficient ? Set.copyOf(leavingSinceMs.keySet()) : Set.of();
    }

    /**
     * Whether leaving members are kept because a replacement is catching up: for at most half of their leave timeout.
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
