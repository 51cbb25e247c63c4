package brambletray.platform.replication;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Handles join requests at a member of the view: collects newcomers for the leader's next view change, and detects lost
 * disks. A join request from a member's address with a different incarnation is answered with a challenge that contains
 * a nonce. The response proves that the previous incarnation is gone, because only one process at a time runs at an
 * address and an old message cannot contain the nonce.
 */
final class JoinAdmission {
    private static final int MAX_LAG_ENTRIES = 64;
    private static final int MAX_NEWCOMERS = 8;
    private static final int REQUEST_EXPIRY_MS = 1000;
    private static final int PENALTY_MEMORY_MS = 20_000;

    /** How often a member was recently excluded, and the time before which it is not admitted again. */
    private record Penalty(int count, long imposedAtMs, long untilMs) {}

    private final ReplicaState state;
    private final RoleState roles;
    private final Map<Long, ReplicationMessage.JoinRequest> admitted = new LinkedHashMap<>();
    private final Map<Long, Long> requestedAtMs = new HashMap<>();
    /** Time in ms of the last request of each newcomer that is still fetching the state, by incarnation. */
    private final Map<Long, Long> catchingUp = new HashMap<>();

    private final Map<String, Penalty> penalties = new HashMap<>();
    private final Map<String, Long> challenges = new HashMap<>();
    private long nonce;

    JoinAdmission(ReplicaState state, RoleState roles) {
        this.state = state;
        this.roles = roles;
        nonce = state.origin();
    }

    void onJoinRequest(String from, ReplicationMessage.JoinRequest joinRequest) {
        Member requester = joinRequest.requester();
        if (state.retiredIncarnations().contains(requester.incarnation())
                || requester.incarnation() == state.self().incarnation()) {
            return;
        }
        if (state.view() != null) {
            challenge(requester);
        }
        if (state.view() == null
                || !state.isActive()
                || roles.isExcluded()
                || state.view().isFounding()) {
            if (!state.knownAddresses().isEmpty()) {
                state.actions().send(from, new ReplicationMessage.KnownMembers(List.copyOf(state.knownAddresses())));
            }
            return;
        }
        if (state.view().contains(requester.incarnation())) {
            return;
        }
        if (joinRequest.viewBallot().isAbove(state.view().ballot())) {
            state.ballots().observe(joinRequest.viewBallot().number());
        }
        if (!roles.isLeader()) {
            if (state.view().ballot().proposer() != state.self().incarnation()) {
                state.actions().send(from, new ReplicationMessage.JoinResponse(state.view(), false));
            }
            return;
        }
        boolean caughtUp = isCaughtUp(
                state.log().patchFor(joinRequest.lastIndex(), joinRequest.lastView(), joinRequest.commitIndex()));
        state.actions().send(from, new ReplicationMessage.JoinResponse(state.view(), caughtUp));
        if (!caughtUp) {
            if (catchingUp.size() < MAX_NEWCOMERS) {
                catchingUp.put(requester.incarnation(), state.nowMs());
            }
            return;
        }
        catchingUp.remove(requester.incarnation());
        Penalty penalty = penalties.get(requester.address());
        if (penalty != null && state.nowMs() < penalty.untilMs()) {
            return;
        }
        if (admitted.size() >= MAX_NEWCOMERS && !admitted.containsKey(requester.incarnation())) {
            return;
        }
        admitted.put(requester.incarnation(), joinRequest);
        requestedAtMs.put(requester.incarnation(), state.nowMs());
    }

    private static boolean isCaughtUp(LogPatch patch) {
        return patch.entries().size() <= MAX_LAG_ENTRIES && patch.fitsInline();
    }

    /**
     * Requests the identity of a different incarnation at a member's address, because the join request itself may be an
     * old message and proves nothing.
     */
    private void challenge(Member requester) {
        if (!replacesMember(requester)) {
            return;
        }
        if (challenges.size() > MAX_NEWCOMERS) {
            challenges.clear();
        }
        challenges.put(requester.address(), ++nonce);
        state.actions().send(requester.address(), new ReplicationMessage.IdentityRequest(nonce));
    }

    private boolean replacesMember(Member requester) {
        for (ViewMembership membership : state.view().viewsToConsult(false)) {
            for (Member member : membership.members()) {
                if (provesDiskLost(requester, member)) {
                    return true;
                }
            }
        }
        return false;
    }

    private boolean provesDiskLost(Member current, Member previous) {
        return previous.address().equals(current.address())
                && previous.incarnation() != current.incarnation()
                && previous.incarnation() != 0
                && previous.incarnation() != state.self().incarnation()
                && !state.retiredIncarnations().contains(previous.incarnation());
    }

    void onIdentityResponse(ReplicationMessage.IdentityResponse response) {
        Long expectedNonce = challenges.get(response.responder().address());
        if (expectedNonce == null || expectedNonce != response.nonce() || state.view() == null) {
            return;
        }
        challenges.remove(response.responder().address());
        java.util.Set<Long> lostIncarnations = new java.util.LinkedHashSet<>();
        for (ViewMembership membership : state.view().viewsToConsult(false)) {
            for (Member member : membership.members()) {
                if (provesDiskLost(response.responder(), member)) {
                    lostIncarnations.add(member.incarnation());
                }
            }
        }
        if (state.retire(lostIncarnations)) {
            state.actions()
                    .log(new ReplicationEvent.DiskLost(
                            response.responder().address(),
                            Long.toHexString(response.responder().incarnation()),
                            lostIncarnations));
            roles.onMembersRetired();
        }
    }

    /**
     * Records that a member was excluded because it was silent or slow. Repeated exclusions within {@link
     * #PENALTY_MEMORY_MS} delay its next admission by an increasing time.
     */
    void penalise(String address) {
        Penalty previous = penalties.get(address);
        int count = previous == null || state.nowMs() - previous.imposedAtMs() > PENALTY_MEMORY_MS
                ? 1
                : previous.count() + 1;
        long delayMs = count <= 2 ? 0 : Math.min(4000, 250L << Math.min(count - 2, 4));
        if (penalties.size() > 32) {
            penalties.clear();
        }
        penalties.put(address, new Penalty(count, state.nowMs(), state.nowMs() + delayMs));
    }

    /** Newcomers that can join now and whose request has not expired, by incarnation. */
    Map<Long, ReplicationMessage.JoinRequest> admitted() {
        if (admitted.isEmpty()) {
            return Map.of();
        }
        admitted.keySet()
                .removeIf(incarnation -> state.nowMs() - requestedAtMs.get(incarnation) > REQUEST_EXPIRY_MS
                        || state.view().contains(incarnation)
                        || state.retiredIncarnations().contains(incarnation));
        // Entries and compactions since its request may have left a newcomer behind: no view change starts for a
        // newcomer that the view change could not admit.
        admitted.values()
                .removeIf(joinRequest -> !isCaughtUp(state.log()
                        .patchFor(joinRequest.lastIndex(), joinRequest.lastView(), joinRequest.commitIndex())));
        requestedAtMs.keySet().retainAll(admitted.keySet());
        return new LinkedHashMap<>(admitted);
    }

    /** Whether any newcomer is catching up or ready to join. */
    boolean hasNewcomers() {
        return hasNewcomersCatchingUp() || !admitted().isEmpty();
    }

    /** Whether any newcomer is still fetching the state. */
    boolean hasNewcomersCatchingUp() {
        catchingUp.values().removeIf(at -> state.nowMs() - at > REQUEST_EXPIRY_MS);
        catchingUp
                .keySet()
                .removeIf(incarnation -> state.view().contains(incarnation)
                        || state.retiredIncarnations().contains(incarnation));
        return !catchingUp.isEmpty();
    }

    void clear() {
        admitted.clear();
        requestedAtMs.clear();
        catchingUp.clear();
    }
}
