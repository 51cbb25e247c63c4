package brambletray.platform.replication;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Admits newcomers at a member of the view: gathers them for the leader's next view change, and finds out which disks
 * are lost. A join request from a member's address under another incarnation is answered by a challenge with a fresh
 * number; the answer proves that the former incarnation is gone, as one process at a time runs at an address and an
 * old message cannot contain the number.
 */
final class JoinAdmission {
    private static final int MAX_LAG_ENTRIES = 64;
    private static final int MAX_NEWCOMERS = 8;
    private static final int REQUEST_EXPIRY_MS = 1000;
    private static final int PENALTY_MEMORY_MS = 20_000;

    /** How often a member was left out lately, and until when it is not admitted again. */
    private record Penalty(int count, long imposedAtMs, long untilMs) {}

    private final ReplicaState state;
    private final RoleState roles;
    private final Map<Long, ReplicationMessage.JoinRequest> admitted = new LinkedHashMap<>();
    private final Map<Long, Long> requestedAtMs = new HashMap<>();
    /** When newcomers that are still fetching the state were heard last, by incarnation; ms. */
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
        boolean fit = isCaughtUp(
                state.log().patchFor(joinRequest.lastIndex(), joinRequest.lastView(), joinRequest.commitIndex()));
        state.actions().send(from, new ReplicationMessage.JoinResponse(state.view(), fit));
        if (!fit) {
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
     * Another incarnation at the address of a member is asked for its identity, so that an old message proves
     * nothing.
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

    private boolean provesDiskLost(Member now, Member before) {
        return before.address().equals(now.address())
                && before.incarnation() != now.incarnation()
                && before.incarnation() != 0
                && before.incarnation() != state.self().incarnation()
                && !state.retiredIncarnations().contains(before.incarnation());
    }

    void onIdentityResponse(ReplicationMessage.IdentityResponse here) {
        Long mine = challenges.get(here.responder().address());
        if (mine == null || mine != here.nonce() || state.view() == null) {
            return;
        }
        challenges.remove(here.responder().address());
        java.util.Set<Long> lostIncarnations = new java.util.LinkedHashSet<>();
        for (ViewMembership membership : state.view().viewsToConsult(false)) {
            for (Member member : membership.members()) {
                if (provesDiskLost(here.responder(), member)) {
                    lostIncarnations.add(member.incarnation());
                }
            }
        }
        if (state.retire(lostIncarnations)) {
            state.actions()
                    .log(new ReplicationEvent.DiskLost(
                            here.responder().address(),
                            Long.toHexString(here.responder().incarnation()),
                            lostIncarnations));
            roles.onMembersRetired();
        }
    }

    /**
     * A member was left out because it was silent or slow: each further time within a while it waits longer before it
     * is admitted again.
     */
    void penalise(String address) {
        Penalty old = penalties.get(address);
        int times = old == null || state.nowMs() - old.imposedAtMs() > PENALTY_MEMORY_MS ? 1 : old.count() + 1;
        long wait = times <= 2 ? 0 : Math.min(4000, 250L << Math.min(times - 2, 4));
        if (penalties.size() > 32) {
            penalties.clear();
        }
        penalties.put(address, new Penalty(times, state.nowMs(), state.nowMs() + wait));
    }

    /** Newcomers that can join now and were heard lately, by incarnation. */
    Map<Long, ReplicationMessage.JoinRequest> admitted() {
        if (admitted.isEmpty()) {
            return Map.of();
        }
        admitted.keySet()
                .removeIf(incarnation -> state.nowMs() - requestedAtMs.get(incarnation) > REQUEST_EXPIRY_MS
                        || state.view().contains(incarnation)
                        || state.retiredIncarnations().contains(incarnation));
        // entries and compactions since the request: no view change starts for a newcomer that it could not admit
        admitted.values()
                .removeIf(joinRequest -> !isCaughtUp(state.log()
                        .patchFor(joinRequest.lastIndex(), joinRequest.lastView(), joinRequest.commitIndex())));
        requestedAtMs.keySet().retainAll(admitted.keySet());
        return new LinkedHashMap<>(admitted);
    }

    /** Whether a newcomer asks to join. */
    boolean hasNewcomers() {
        return hasNewcomersCatchingUp() || !admitted().isEmpty();
    }

    /** Whether a newcomer is fetching the state. */
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
