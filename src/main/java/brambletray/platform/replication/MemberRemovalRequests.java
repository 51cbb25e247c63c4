package brambletray.platform.replication;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Removal of a machine that is gone for good and whose address never answers again, by an operator's word. A removed
 * incarnation counts like one whose disk is proven lost (see {@link Quorum}), so the removal is rejected while there
 * is any sign that the machine is alive, and while the view works without it.
 */
final class MemberRemovalRequests {
    /** The machine must not have been heard for so long, by a process that ran all the while. */
    static final int MIN_SILENCE_MS = 10_000;
    /** How long the machine has to answer the question that precedes the removal. */
    static final int IDENTITY_TIMEOUT_MS = 2_000;

    private record PendingRemoval(Member member, long startedAtMs, Consumer<MemberRemovalOutcome> onOutcome) {}

    private final ReplicaState state;
    private final RoleState roles;
    private final long startedAtMs;
    private final Map<String, Long> lastHeardAtMs = new HashMap<>();
    private PendingRemoval pending;

    MemberRemovalRequests(ReplicaState state, RoleState roles) {
        this.state = state;
        this.roles = roles;
        startedAtMs = state.nowMs();
    }

    /** A message has come from the machine at this address. */
    void onMessage(String address) {
        lastHeardAtMs.put(address, state.nowMs());
    }

    void request(String address, long incarnation, Consumer<MemberRemovalOutcome> onOutcome) {
        Member target = findMember(address, incarnation);
        MemberRemovalOutcome refusal = findRejection(target);
        if (refusal != null) {
            onOutcome.accept(refusal);
            return;
        }
        pending = new PendingRemoval(target, state.nowMs(), onOutcome);
        state.actions()
                .log(new ReplicationEvent.RemovalRequested(target.name(), address, Long.toHexString(incarnation)));
        state.actions().send(address, new ReplicationMessage.IdentityRequest(state.origin() ^ state.nowMs()));
    }

    private MemberRemovalOutcome findRejection(Member target) {
        if (target == null) {
            return MemberRemovalOutcome.UNKNOWN_MEMBER;
        }
        if (pending != null) {
            return MemberRemovalOutcome.ANOTHER_PENDING;
        }
        if (roles.role() == ReplicaRole.MEMBER) {
            return MemberRemovalOutcome.VIEW_IS_HEALTHY;
        }
        if (state.nowMs() - Math.max(startedAtMs, lastHeardAtMs.getOrDefault(target.address(), startedAtMs))
                < MIN_SILENCE_MS) {
            return MemberRemovalOutcome.RECENTLY_HEARD;
        }
        return wouldLoseMajority(target) ? MemberRemovalOutcome.MAJORITY_WOULD_BE_LOST : null;
    }

    /** The member of the last view, or of one of its predecessors; null if there is none, or it is this member. */
    private Member findMember(String address, long incarnation) {
        if (state.view() == null
                || state.view().isFounding()
                || incarnation == state.self().incarnation()) {
            return null;
        }
        for (ViewMembership membership : state.view().viewsToConsult(state.isActive())) {
            for (Member member : membership.members()) {
                if (member.incarnation() == incarnation
                        && incarnation != 0
                        && member.address().equals(address)) {
                    return member;
                }
            }
        }
        return null;
    }

    private boolean wouldLoseMajority(Member target) {
        for (ViewMembership membership : state.view().viewsToConsult(state.isActive())) {
            long gone = membership.members().stream()
                    .filter(member -> member.incarnation() == target.incarnation()
                            || state.retiredIncarnations().contains(member.incarnation()))
                    .count();
            if (gone >= membership.members().size() / 2 + 1) {
                return true;
            }
        }
        return false;
    }

    void tick() {
        if (pending == null) {
            return;
        }
        Member target = pending.member();
        if (lastHeardAtMs.getOrDefault(target.address(), startedAtMs) >= pending.startedAtMs()) {
            complete(MemberRemovalOutcome.RECENTLY_HEARD);
        } else if (state.nowMs() - pending.startedAtMs() >= IDENTITY_TIMEOUT_MS) {
            remove(target);
        }
    }

    private void remove(Member target) {
        Consumer<MemberRemovalOutcome> onOutcome = pending.onOutcome();
        pending = null;
        state.retire(java.util.Set.of(target.incarnation()));
        state.writeAheadQueue().onSynced(() -> {
            state.actions()
                    .log(new ReplicationEvent.MemberRemoved(
                            target.name(), target.address(), Long.toHexString(target.incarnation())));
            onOutcome.accept(MemberRemovalOutcome.REMOVED);
            roles.onMembersRetired();
        });
    }

    private void complete(MemberRemovalOutcome result) {
        Consumer<MemberRemovalOutcome> onOutcome = pending.onOutcome();
        pending = null;
        onOutcome.accept(result);
    }
}
