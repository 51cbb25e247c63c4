package brambletray.platform.controlplane;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.platform.replication.Member;
import brambletray.platform.replication.ProposalOutcome;
import brambletray.platform.replication.ReplicaRole;
import brambletray.platform.replication.ReplicaStatus;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Operators' calls at one member, with the order scripted: what is answered, and only once it is certain. */
class OperatorCallsTest {
    private static final String SERVICE =
            "{'name':'%s','health-path':null,'max-connections':72,'memory-mb':512,'boot-ms':750,"
                    + "'max-concurrency':4}";
    private static final String ROUTE =
            "{'name':'r','host':'h.example','path-prefix':'/one/','route-type':'idempotent','timeout-ms':2500,"
                    + "'target-ms':400,'priority':2,'service':'%s','retry-count':2}";

    private static final Member ME = new Member("10.0.0.1:90", "core-1", 0xa1);
    private static final Member OTHER = new Member("10.0.0.2:90", "core-2", 0xa2);

    private final CallRouter<ControlPlaneServer.CallHandler> table = new CallRouter<>();
    private final Scripted order = new Scripted();
    private final OperatorCalls operators = new OperatorCalls(order, () -> {});
    private long index;

    OperatorCallsTest() {
        operators.register(table);
        operators.tick(1_000);
    }

    /** What the member says of itself, and what it was asked to do. */
    private static final class Scripted implements OperatorCalls.ReplicaAccess {
        private Member leader = ME;
        private ReplicaRole standing = ReplicaRole.MEMBER;
        private String successor;
        private final ArrayDeque<Long> tokens = new ArrayDeque<>();
        private final ArrayDeque<byte[]> changes = new ArrayDeque<>();
        private final ArrayDeque<Long> confirms = new ArrayDeque<>();

        @Override
        public ReplicaStatus status() {
            return new ReplicaStatus(
                    standing, ME, 7, 6, List.of(ME, OTHER), leader, leader == ME, true, true, 0, 0, false);
        }

        @Override
        public String successor() {
            return successor;
        }

        @Override
        public void propose(long token, byte[] change) {
            tokens.add(token);
            changes.add(change);
        }

        @Override
        public void requestReadIndex(long token) {
            confirms.add(token);
        }
    }

    /** One call's answer; null status: none yet. */
    private static final class Reply implements ControlCall.Responder {
        private Integer status;
        private String body;
        private Map<String, String> headers;
        private int given;

        @Override
        public void respond(int code, byte[] json, Map<String, String> further) {
            if (given++ == 0) {
                status = code;
                body = json == null ? null : new String(json, StandardCharsets.UTF_8);
                headers = further;
            }
        }
    }

    private static byte[] bytes(String text) {
        return text.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
    }

    private static byte[] whole(long revision, String... services) {
        List<String> items = new ArrayList<>();
        for (String service : services) {
            items.add(SERVICE.formatted(service));
        }
        String routes = ROUTE.formatted(services[0]);
        return bytes(
                "{'revision':" + revision + ",'routes':[" + routes + "],'services':[" + String.join(",", items) + "]}");
    }

    private static byte[] move(long revision, String service) {
        return bytes("{'revision':" + revision + ",'upsert':{'routes':[" + ROUTE.formatted(service) + "]}}");
    }

    private Reply call(String method, String verb, String base, byte[] body) {
        Reply reply = new Reply();
        String path = "/brambletray/configuration/" + verb;
        table.find(method, path).handler().handle(new ControlCall(method, path, base, body, reply), null);
        return reply;
    }

    private Reply replace(long base, byte[] body) {
        return call("POST", "replace", Long.toString(base), body);
    }

    private Reply modify(long base, byte[] body) {
        return call("POST", "modify", Long.toString(base), body);
    }

    /** The oldest proposal is kept: delivered, and its outcome said. */
    private void keep() {
        operators.apply(++index, order.changes.remove());
        operators.onProposalCompleted(order.tokens.remove(), ProposalOutcome.COMMITTED);
    }

    private void confirm(boolean yes) {
        operators.onReadIndexCompleted(order.confirms.remove(), yes);
    }

    /** The bytes of a change as another member puts it into the order. */
    private static byte[] elsewhere(byte[] snapshot, String verb, long base, byte[] body) {
        OperatorCallsTest other = new OperatorCallsTest();
        other.operators.restore(snapshot);
        other.call("POST", verb, Long.toString(base), body);
        return other.order.changes.remove();
    }

    private void begin() {
        Reply first = replace(0, whole(5, "a"));
        assertNull(first.status, "answered before it was kept");
        keep();
        assertEquals(200, first.status);
    }

    @Test
    void aRefusalWaitsForTheConfirmingRound() {
        begin();
        Reply unknown = modify(5, move(7, "b"));
        Reply low = replace(5, whole(5, "a"));
        Reply stale = replace(3, whole(9, "a"));
        assertNull(unknown.status, "refused by what an isolated member knows");
        assertNull(low.status);
        assertNull(stale.status);
        confirm(true);
        confirm(false);
        confirm(true);
        assertEquals(400, unknown.status);
        assertTrue(unknown.body.contains("configuration.unknown-service"), unknown.body);
        assertEquals(503, low.status, "a member that isn't sure refuses nothing");
        assertEquals(412, stale.status);
    }

    @Test
    void aFaultOfTheCallItselfNeedsNoRound() {
        assertEquals(400, call("POST", "replace", "x", whole(5, "a")).status);
        assertEquals(400, call("POST", "replace", null, whole(5, "a")).status);
        assertTrue(order.confirms.isEmpty());
    }

    /**
     * Judged by an old configuration, confirmed on a newer one: a route to a service that only the newer one has is
     * valid.
     */
    @Test
    void whatMovedOnBeforeTheRoundIsJudgedAnew() {
        begin();
        byte[] adds = elsewhere(operators.snapshot(), "replace", 5, whole(8, "a", "b"));
        Reply ahead = modify(8, move(9, "b"));
        operators.apply(++index, adds);
        confirm(true);
        assertNull(ahead.status, "refused by what was known before the round");
        keep();
        assertEquals(200, ahead.status);
        assertEquals(9, operators.stateMachine().configuration().revision());
    }

    /** What a member that goes on with another's state transfer packs has to be the same to the byte. */
    @Test
    void aReplayGivesTheSnapshotOfWhoHasDeliveredTheSame() {
        begin();
        byte[] before = operators.snapshot();
        byte[] adds = elsewhere(before, "replace", 5, whole(8, "a", "b"));
        operators.apply(++index, adds);
        byte[] moves = elsewhere(operators.snapshot(), "modify", 8, move(9, "b"));
        operators.apply(++index, moves);
        byte[] after = operators.snapshot();
        OperatorCalls other = new OperatorCalls(new Scripted(), () -> {});
        assertArrayEquals(after, other.replay(before, List.of(adds, moves)));
        assertEquals(0, other.stateMachine().configuration().revision(), "a replay changes nothing");
    }

    @Test
    void takenBeforeByASnapshotIsSeenAfterTheRound() {
        begin();
        OperatorCalls newer = new OperatorCalls(new Scripted(), () -> {});
        newer.restore(operators.snapshot());
        newer.apply(2, elsewhere(operators.snapshot(), "replace", 5, whole(8, "a", "b")));
        newer.apply(3, elsewhere(newer.snapshot(), "modify", 8, move(9, "b")));
        Reply again = modify(8, move(9, "b"));
        operators.restore(newer.snapshot());
        confirm(true);
        assertEquals(200, again.status, "it was taken: " + again.body);
    }

    @Test
    void whatWasTakenIsAcknowledgedAgainAtOnce() {
        begin();
        modify(5, move(7, "a"));
        keep();
        Reply again = replace(0, whole(5, "a"));
        assertEquals(200, again.status, "what has been delivered is kept, a round adds nothing");
        assertTrue(order.confirms.isEmpty());
    }

    /**
     * A former leader's proposals come into the order right after or before ours, and are delivered before our outcome
     * is said.
     */
    @Test
    void theAnswerIsOfTheChangeItselfNotOfTheLastDelivered() {
        begin();
        byte[] other = elsewhere(operators.snapshot(), "modify", 5, move(8, "a"));
        Reply mine = modify(5, move(7, "a"));
        operators.apply(++index, order.changes.remove());
        operators.apply(++index, other);
        operators.onProposalCompleted(order.tokens.remove(), ProposalOutcome.COMMITTED);
        assertEquals(200, mine.status, "it is in force, what came after it lost: " + mine.body);

        byte[] first = elsewhere(operators.snapshot(), "modify", 7, move(10, "a"));
        OperatorCalls ahead = new OperatorCalls(new Scripted(), () -> {});
        ahead.restore(operators.snapshot());
        ahead.apply(9, first);
        byte[] second = elsewhere(ahead.snapshot(), "modify", 10, move(12, "a"));
        Reply loser = modify(7, move(9, "a"));
        operators.apply(++index, first);
        operators.apply(++index, order.changes.remove());
        operators.apply(++index, second);
        operators.onProposalCompleted(order.tokens.remove(), ProposalOutcome.COMMITTED);
        assertEquals(412, loser.status, "confirmed though it lost its race");
        assertEquals(12, operators.stateMachine().configuration().revision());
    }

    @Test
    void takenThoughTheOutcomeIsUnclear() {
        begin();
        Reply reply = modify(5, move(7, "a"));
        operators.apply(++index, order.changes.remove());
        operators.onProposalCompleted(order.tokens.remove(), ProposalOutcome.UNKNOWN);
        assertEquals(200, reply.status, "the state has it, so it is kept");
        Reply open = modify(7, move(9, "a"));
        operators.onProposalCompleted(order.tokens.remove(), ProposalOutcome.UNKNOWN);
        assertEquals(503, open.status);
    }

    private Reply show() {
        return call("GET", "show", null, new byte[0]);
    }

    @Test
    void whatWasTakenIsAcknowledgedWhereverItIsKnownAndWhateverIsUnderWay() {
        begin();
        Reply open = modify(5, move(7, "a"));
        assertEquals(200, replace(0, whole(5, "a")).status, "not behind the one under way");
        order.leader = OTHER;
        assertEquals(200, replace(0, whole(5, "a")).status, "a member that follows has it too");
        order.standing = ReplicaRole.SUSPENDED;
        assertEquals(200, replace(0, whole(5, "a")).status, "and one that is cut off");
        assertNull(open.status);
        assertEquals(1, order.tokens.size());
        assertTrue(order.confirms.isEmpty());
    }

    @Test
    void theSameOrderTwiceIsProposedOnceAndAcknowledgedTwice() {
        begin();
        Reply one = modify(5, move(7, "a"));
        Reply again = modify(5, move(7, "a"));
        Reply other = modify(5, move(7, "a").clone());
        Reply loser = modify(5, bytes("{'revision':7,'withdraw':{'routes':['r']}}"));
        keep();
        assertEquals(200, one.status);
        assertEquals(200, again.status);
        assertEquals(200, other.status);
        assertNull(loser.status, "same number, same base, another body");
        confirm(true);
        assertEquals(412, loser.status);
        assertTrue(order.tokens.isEmpty());
    }

    /**
     * A member that is cut off says so before its caller gives up on it; one amid a view change keeps the call until
     * it is over.
     */
    @Test
    void callsWaitForALeaderButNotForLong() {
        begin();
        order.standing = ReplicaRole.SUSPENDED;
        operators.tick(2_000);
        Reply first = modify(5, move(7, "a"));
        Reply refusal = modify(3, move(7, "a"));
        operators.tick(2_700);
        assertNull(first.status, "a change of view takes less than this");
        assertTrue(order.confirms.isEmpty(), "it doesn't lead, so it judges nothing");
        order.standing = ReplicaRole.MEMBER;
        operators.onStatusChanged();
        assertEquals(1, order.tokens.size(), "judged once it leads");
        keep();
        assertEquals(200, first.status);
        confirm(true);
        assertEquals(412, refusal.status);

        order.standing = ReplicaRole.SUSPENDED;
        operators.tick(10_000);
        Reply second = modify(7, move(9, "a"));
        operators.tick(10_900);
        assertEquals(503, second.status, "the caller would go elsewhere after a second");
        operators.tick(11_600);
        assertEquals(503, modify(7, move(9, "a")).status, "cut off for long: at once");
        assertEquals(503, show().status);
        assertTrue(order.tokens.isEmpty());
    }

    @Test
    void whatIsUnderWayAtAMemberThatIsCutOffGetsItsAnswerInTime() {
        begin();
        Reply open = modify(5, move(7, "a"));
        Reply refusal = modify(3, move(7, "a"));
        Reply behind = modify(5, move(8, "a"));
        Reply read = show();
        operators.tick(1_900);
        assertNull(open.status, "a leader in touch holds it longer");
        order.standing = ReplicaRole.SUSPENDED;
        operators.tick(1_950);
        assertEquals(503, open.status);
        assertEquals(503, refusal.status);
        assertEquals(503, behind.status);
        assertEquals(503, read.status);
        order.standing = ReplicaRole.MEMBER;
        Reply next = modify(5, move(9, "a"));
        assertEquals(1, order.tokens.size(), "judged before it is known what came of the one under way");
        keep();
        confirm(false);
        confirm(true);
        assertEquals(412, next.status);
        assertEquals(7, operators.stateMachine().configuration().revision());
        assertEquals(200, modify(5, move(7, "a")).status, "the slot was kept for it, and it is sent again");
    }

    @Test
    void onlyALeaderThatIsHeardIsNamed() {
        order.leader = OTHER;
        Reply sent = modify(5, move(7, "a"));
        assertEquals(307, sent.status);
        assertEquals("http://10.0.0.2:90/brambletray/configuration/modify", sent.headers.get("Location"));
        order.standing = ReplicaRole.SUSPENDED;
        operators.tick(2_000);
        Reply held = modify(5, move(7, "a"));
        assertNull(held.status, "a circle: the other may be naming this one");
        assertEquals(503, show().status);
        order.standing = ReplicaRole.MEMBER;
        operators.onStatusChanged();
        assertEquals(307, held.status);
    }

    @Test
    void theLineIsBoundedAndEndsByPatience() {
        begin();
        List<Reply> replies = new ArrayList<>();
        for (int i = 0; i < 70; i++) {
            replies.add(modify(5, move(7 + i, "a")));
        }
        assertEquals(
                5,
                replies.stream()
                        .filter(reply -> reply.status != null && reply.status == 503)
                        .count(),
                "one under way, 64 wait");
        operators.tick(3_600);
        assertTrue(replies.stream().allMatch(reply -> reply.status != null && reply.status == 503));
        keep();
        assertTrue(order.tokens.isEmpty(), "what was given up is proposed no more");
    }

    @Test
    void theBytesThatWaitAreBounded() {
        begin();
        Reply open = modify(5, move(7, "a"));
        byte[] large = new byte[4 << 20];
        List<Reply> replies = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            replies.add(modify(5, large));
        }
        assertEquals(
                3,
                replies.stream()
                        .filter(reply -> reply.status != null && reply.status == 503)
                        .count(),
                "24 MB in all");
        keep();
        assertEquals(200, open.status);
        assertNull(modify(5, large).status, "a sixth, now that none is under way");
        assertEquals(503, modify(5, large).status, "those that wait for a round count too");
    }

    @Test
    void whoLeavesSendsItsCallersOnOnceItIsOutAndIsIdleWhenAllAreAnswered() {
        begin();
        assertTrue(operators.isIdle());
        Reply under = modify(5, move(7, "a"));
        Reply waiting = modify(5, move(9, "a"));
        Reply show = call("GET", "show", null, new byte[0]);
        Reply stale = replace(3, whole(9, "a"));
        assertFalse(operators.isIdle());
        order.standing = ReplicaRole.SUSPENDED;
        Reply late = modify(5, move(11, "a"));
        assertNull(late.status, "held while nobody is known to lead");
        order.standing = ReplicaRole.JOINING;
        order.successor = "10.0.0.2:90";
        operators.onStatusChanged();
        operators.onProposalCompleted(order.tokens.remove(), ProposalOutcome.REJECTED);
        while (!order.confirms.isEmpty()) {
            confirm(false);
        }
        for (Reply reply : List.of(under, waiting, show, stale, late)) {
            assertEquals(307, reply.status);
            assertTrue(
                    reply.headers.get("Location").startsWith("http://10.0.0.2:90/brambletray/configuration/"),
                    reply.headers::toString);
        }
        assertTrue(operators.isIdle());
    }
}
