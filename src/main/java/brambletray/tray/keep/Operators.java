package brambletray.tray.keep;

import brambletray.tray.creed.Charter;
import brambletray.tray.creed.CreedFault;
import brambletray.tray.creed.Verb;
import brambletray.tray.creed.Verdict;
import brambletray.tray.tale.Tale;
import brambletray.tray.view.Matter;
import brambletray.tray.view.Outcome;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * The operators' calls at one member: judged by the configuration as it stands, put into the one order, answered once they are kept. One change
 * is under way at a time, so that the next is judged by what came of it. A member that does not lead sends the caller on by 307.
 */
final class Operators implements Matter {
    private static final Tale TALE = Tale.of("keep");
    /** Calls that wait for the one under way. */
    private static final int LINE = 64;
    /** ms that a call may wait before it gets no clear answer; below ack-ms of all deployments, so that a caller asks again in time. */
    private static final int PATIENCE = 2_500;

    /** What the operators' calls need of the member. */
    interface Order {
        boolean leading();

        /** Control-plane address of the leader, or null while there is none. */
        String leader();

        void propose(long token, byte[] change);

        /** Whether this member still knows the newest of all: answered by {@link #confirmed}. */
        void confirm(long token);
    }

    private record Change(Call call, Verb verb, long since) { }

    private final Order order;
    private final Runnable news;
    private final Charter charter = new Charter();
    private final ArrayDeque<Change> line = new ArrayDeque<>();
    private final Map<Long, Runnable[]> asked = new HashMap<>();
    private Change under;
    private long token;
    private long proposal;
    private Verdict delivered;

    /** {@code news}: called after each new configuration. */
    Operators(Order order, Runnable news) {
        this.order = order;
        this.news = news;
    }

    Charter charter() {
        return charter;
    }

    void register(Dispatch<Door.Desk> table) {
        table.on("POST", "/brambletray/configuration/replace", (call, part) -> change(call, Verb.REPLACE))
            .on("POST", "/brambletray/configuration/modify", (call, part) -> change(call, Verb.MODIFY))
            .on("GET", "/brambletray/configuration/show", (call, part) -> show(call));
    }

    private long now;

    /** Steady ms. Ends calls that have waited too long. */
    void tick(long at) {
        now = at;
        while (!line.isEmpty() && now - line.peek().since > PATIENCE) {
            line.poll().call.refuse(503, "keep.busy", "another change is under way");
        }
        if (under != null && now - under.since > PATIENCE) {
            under.call.refuse(503, "keep.unclear", "not known to be kept yet; send it again");
        }
    }

    /** The member leads no longer, or the view has changed: those in line are sent on. */
    void changed() {
        if (!order.leading()) {
            for (Change change = line.poll(); change != null; change = line.poll()) {
                sendOn(change.call);
            }
        }
    }

    private boolean sendOn(Call call) {
        if (order.leading()) {
            return false;
        }
        String leader = order.leader();
        if (leader == null) {
            call.refuse(503, "keep.no-leader", "the members of the core are not in touch");
        } else {
            call.answer().give(307, null, Map.of("Location", "http://" + leader + call.path()));
        }
        return true;
    }

    private void show(Call call) {
        if (!sendOn(call)) {
            confirm(() -> call.give(200, charter.creed().json()), () -> unsure(call, "may not be the newest"));
        }
    }

    /** Another leads by now, or this member can't know. */
    private void unsure(Call call, String why) {
        if (!sendOn(call)) {
            call.refuse(503, "keep.unsure", why);
        }
    }

    /** Whether no call waits for its answer. */
    boolean idle() {
        return under == null && line.isEmpty() && asked.isEmpty();
    }

    private void confirm(Runnable yes, Runnable no) {
        asked.put(++token, new Runnable[] {yes, no});
        order.confirm(token);
    }

    void confirmed(long of, boolean yes) {
        Runnable[] then = asked.remove(of);
        if (then != null) {
            then[yes ? 0 : 1].run();
        }
    }

    private void change(Call call, Verb verb) {
        if (sendOn(call)) {
            return;
        }
        if (line.size() >= LINE) {
            call.refuse(503, "keep.busy", "too many changes at once");
            return;
        }
        line.add(new Change(call, verb, now));
        next();
    }

    private void next() {
        while (under == null && !line.isEmpty()) {
            Change change = line.poll();
            if (!sendOn(change.call)) {
                judge(change);
            }
        }
    }

    private void judge(Change change) {
        Verdict verdict;
        try {
            verdict = charter.judge(change.verb, Charter.base(change.call.base()), change.call.body());
        } catch (CreedFault fault) {
            verdict = new Verdict.Invalid(fault);
        }
        if (verdict instanceof Verdict.Fine fine) {
            under = change;
            delivered = null;
            proposal = ++token;
            order.propose(proposal, fine.change());
        } else if (verdict instanceof Verdict.Invalid) {
            answer(change, verdict);
        } else {
            Verdict known = verdict;
            confirm(() -> answer(change, known), () -> unsure(change.call, "not sure to know the newest"));
        }
    }

    void outcome(long of, Outcome outcome) {
        if (of != proposal) {
            return;
        }
        Change change = under;
        under = null;
        if (change != null) {
            TALE.tell("change", "verb", change.verb, "outcome", outcome, "verdict", delivered == null ? "" : delivered.getClass().getSimpleName(),
                "revision", charter.creed().revision());
            if (outcome == Outcome.COMMITTED && delivered != null) {
                answer(change, delivered);
            } else if (outcome == Outcome.REFUSED && sendOn(change.call)) {
                TALE.tell("sent on", "revision", charter.creed().revision());
            } else {
                change.call.refuse(503, "keep.unclear", "not known to be kept; send it again");
            }
        }
        next();
    }

    private static void answer(Change change, Verdict verdict) {
        if (verdict instanceof Verdict.Invalid invalid) {
            TALE.tell("refused", "code", invalid.fault().code(), "why", invalid.fault().getMessage());
            change.call.refuse(400, invalid.fault().code(), invalid.fault().getMessage());
        } else if (verdict instanceof Verdict.Stale stale) {
            change.call.refuse(412, "keep.stale", "the current revision is " + stale.current());
        } else {
            change.call.give(200, "{}".getBytes(java.nio.charset.StandardCharsets.US_ASCII));
        }
    }

    @Override
    public byte[] snapshot() {
        return charter.snapshot();
    }

    @Override
    public void restore(byte[] snapshot) {
        if (snapshot.length > 0) {
            charter.restore(snapshot);
            news.run();
        }
    }

    @Override
    public void deliver(long index, byte[] change) {
        delivered = charter.deliver(change);
        if (delivered instanceof Verdict.Taken) {
            news.run();
        }
    }
}
