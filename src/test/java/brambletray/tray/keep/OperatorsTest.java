package brambletray.tray.keep;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.tray.view.Outcome;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Operators' calls at one member, with the order scripted: what is answered, and only once it is certain. */
class OperatorsTest {
    private static final String SERVICE = "{'name':'%s','health-path':null,'max-connections':72,'memory-mb':512,'boot-ms':750,'max-concurrency':4}";
    private static final String ROUTE = "{'name':'r','host':'h.example','path-prefix':'/one/','route-type':'idempotent','timeout-ms':2500,"
        + "'target-ms':400,'priority':2,'service':'%s','retry-count':2}";

    private final Dispatch<Door.Desk> table = new Dispatch<>();
    private final Scripted order = new Scripted();
    private final Operators operators = new Operators(order, () -> { });
    private long index;

    OperatorsTest() {
        operators.register(table);
        operators.tick(1_000);
    }

    /** What the member says of itself, and what it was asked to do. */
    private static final class Scripted implements Operators.Order {
        private boolean leading = true;
        private String leader;
        private final ArrayDeque<Long> tokens = new ArrayDeque<>();
        private final ArrayDeque<byte[]> changes = new ArrayDeque<>();
        private final ArrayDeque<Long> confirms = new ArrayDeque<>();

        @Override
        public boolean leading() {
            return leading;
        }

        @Override
        public String leader() {
            return leader;
        }

        @Override
        public void propose(long token, byte[] change) {
            tokens.add(token);
            changes.add(change);
        }

        @Override
        public void confirm(long token) {
            confirms.add(token);
        }
    }

    /** One call's answer; null status: none yet. */
    private static final class Reply implements Call.Answer {
        private Integer status;
        private String body;
        private Map<String, String> headers;
        private int given;

        @Override
        public void give(int code, byte[] json, Map<String, String> further) {
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
        return bytes("{'revision':" + revision + ",'routes':[" + ROUTE.formatted(services[0]) + "],'services':[" + String.join(",", items) + "]}");
    }

    private static byte[] move(long revision, String service) {
        return bytes("{'revision':" + revision + ",'upsert':{'routes':[" + ROUTE.formatted(service) + "]}}");
    }

    private Reply call(String method, String verb, String base, byte[] body) {
        Reply reply = new Reply();
        String path = "/brambletray/configuration/" + verb;
        table.find(method, path).handler().handle(new Call(method, path, base, body, reply), null);
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
        operators.deliver(++index, order.changes.remove());
        operators.outcome(order.tokens.remove(), Outcome.COMMITTED);
    }

    private void confirm(boolean yes) {
        operators.confirmed(order.confirms.remove(), yes);
    }

    /** The bytes of a change as another member puts it into the order. */
    private static byte[] elsewhere(byte[] snapshot, String verb, long base, byte[] body) {
        OperatorsTest other = new OperatorsTest();
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
        assertTrue(unknown.body.contains("creed.unknown-service"), unknown.body);
        assertEquals(503, low.status, "a member that isn't sure refuses nothing");
        assertEquals(412, stale.status);
    }

    @Test
    void aFaultOfTheCallItselfNeedsNoRound() {
        assertEquals(400, call("POST", "replace", "x", whole(5, "a")).status);
        assertEquals(400, call("POST", "replace", null, whole(5, "a")).status);
        assertTrue(order.confirms.isEmpty());
    }

    /** Judged by an old configuration, confirmed on a newer one: a route to a service that only the newer one has is valid. */
    @Test
    void whatMovedOnBeforeTheRoundIsJudgedAnew() {
        begin();
        byte[] adds = elsewhere(operators.snapshot(), "replace", 5, whole(8, "a", "b"));
        Reply ahead = modify(8, move(9, "b"));
        operators.deliver(++index, adds);
        confirm(true);
        assertNull(ahead.status, "refused by what was known before the round");
        keep();
        assertEquals(200, ahead.status);
        assertEquals(9, operators.charter().creed().revision());
    }

    @Test
    void takenBeforeByASnapshotIsSeenAfterTheRound() {
        begin();
        Operators newer = new Operators(new Scripted(), () -> { });
        newer.restore(operators.snapshot());
        newer.deliver(2, elsewhere(operators.snapshot(), "replace", 5, whole(8, "a", "b")));
        newer.deliver(3, elsewhere(newer.snapshot(), "modify", 8, move(9, "b")));
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

    /** A former leader's proposals come into the order right after or before ours, and are delivered before our outcome is said. */
    @Test
    void theAnswerIsOfTheChangeItselfNotOfTheLastDelivered() {
        begin();
        byte[] other = elsewhere(operators.snapshot(), "modify", 5, move(8, "a"));
        Reply mine = modify(5, move(7, "a"));
        operators.deliver(++index, order.changes.remove());
        operators.deliver(++index, other);
        operators.outcome(order.tokens.remove(), Outcome.COMMITTED);
        assertEquals(200, mine.status, "it is in force, what came after it lost: " + mine.body);

        byte[] first = elsewhere(operators.snapshot(), "modify", 7, move(10, "a"));
        Operators ahead = new Operators(new Scripted(), () -> { });
        ahead.restore(operators.snapshot());
        ahead.deliver(9, first);
        byte[] second = elsewhere(ahead.snapshot(), "modify", 10, move(12, "a"));
        Reply loser = modify(7, move(9, "a"));
        operators.deliver(++index, first);
        operators.deliver(++index, order.changes.remove());
        operators.deliver(++index, second);
        operators.outcome(order.tokens.remove(), Outcome.COMMITTED);
        assertEquals(412, loser.status, "confirmed though it lost its race");
        assertEquals(12, operators.charter().creed().revision());
    }

    @Test
    void takenThoughTheOutcomeIsUnclear() {
        begin();
        Reply reply = modify(5, move(7, "a"));
        operators.deliver(++index, order.changes.remove());
        operators.outcome(order.tokens.remove(), Outcome.UNCLEAR);
        assertEquals(200, reply.status, "the state has it, so it is kept");
        Reply open = modify(7, move(9, "a"));
        operators.outcome(order.tokens.remove(), Outcome.UNCLEAR);
        assertEquals(503, open.status);
    }
}
