package brambletray.platform.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;

import brambletray.platform.election.LeaseHolder;
import brambletray.platform.failuredetection.EdgeWelcome;
import brambletray.platform.failuredetection.Roster;
import brambletray.platform.replication.Member;
import brambletray.platform.replication.ReplicaRole;
import brambletray.platform.replication.ReplicaStatus;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Whom a member names to edges as the coordinator. */
class EdgeGreeterTest {
    private static final Member ME = new Member("a", "core-a", 1);
    private static final Member OTHER = new Member("b", "core-b", 2);

    private static EdgeWelcome welcome(ReplicaRole standing, boolean inForce, LeaseHolder holder, long hubTerm) {
        ReplicaStatus status =
                new ReplicaStatus(standing, ME, 7, 6, List.of(ME, OTHER), OTHER, false, inForce, true, 0, 0, false);
        return EdgeGreeter.welcome(status, holder, hubTerm, new Roster(60, 3, List.of()), Member::address);
    }

    @Test
    void anotherIsNamedByWhoIsInTouch() {
        assertEquals(
                new EdgeWelcome("b", 70, true, 7, List.of("a", "b"), 60, 3),
                welcome(ReplicaRole.MEMBER, true, new LeaseHolder(70, OTHER), 0));
    }

    @Test
    void whoIsCutOffNamesNoOther() {
        for (ReplicaRole standing : List.of(ReplicaRole.SUSPENDED, ReplicaRole.JOINING)) {
            assertEquals(
                    new EdgeWelcome("", 0, false, 7, List.of("a", "b"), 60, 3),
                    welcome(standing, true, new LeaseHolder(70, OTHER), 0));
        }
    }

    @Test
    void itselfIsNamedWhileItsCoordinatorIsOfThatTermEvenDuringAChangeOfView() {
        assertEquals(
                "a",
                welcome(ReplicaRole.MEMBER, true, new LeaseHolder(70, ME), 70).coordinatorAddress());
        assertEquals(
                "a",
                welcome(ReplicaRole.SUSPENDED, true, new LeaseHolder(70, ME), 70)
                        .coordinatorAddress());
        assertEquals(
                "",
                welcome(ReplicaRole.MEMBER, true, new LeaseHolder(70, ME), 0).coordinatorAddress());
        assertEquals(
                "",
                welcome(ReplicaRole.MEMBER, true, new LeaseHolder(71, ME), 70).coordinatorAddress());
    }

    @Test
    void nobodyIsNamedWhereNobodyIsKnownAndNoMembersOfAViewThatMayNotBeInForce() {
        assertEquals(
                new EdgeWelcome("", 0, true, 7, List.of("a", "b"), 60, 3), welcome(ReplicaRole.MEMBER, true, null, 0));
        assertEquals(
                new EdgeWelcome("", 0, false, 0, List.of(), 60, 3), welcome(ReplicaRole.SUSPENDED, false, null, 0));
    }
}
