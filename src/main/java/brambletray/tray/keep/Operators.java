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
 *
 * <p>A refusal is final to an operator (400 and 412 end its call at once), so it is a read and takes a confirming round (read index) like one:
 * a member that has been cut off still believes to lead and judges by an old configuration. Where the configuration moved on in the
 * meantime, the change is judged anew. What was taken before needs no round: what has been delivered here is kept.
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
    /** Counts states of the charter: what was judged by an earlier one is judged anew. */
    private long states;

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
            confirm(() -> call.give(200, charter.creed().json()), () -> call.refuse(503, "keep.unsure", "may not be the newest"));
        }
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
        long base;
        try {
            base = Charter.base(change.call.base());
        } catch (CreedFault fault) {
            // a fault of the call itself, whatever the configuration
            answer(change, new Verdict.Invalid(fault));
            return;
        }
        Verdict verdict = charter.judge(change.verb, base, change.call.body());
        if (verdict instanceof Verdict.Fine fine) {
            under = change;
            proposal = ++token;
            order.propose(proposal, fine.change());
        } else if (verdict instanceof Verdict.TakenBefore) {
            answer(change, verdict);
        } else {
            long judgedBy = states;
            confirm(() -> refuse(change, verdict, judgedBy), () -> change.call.refuse(503, "keep.unsure", "not sure to know the newest"));
        }
    }

    /** The round has confirmed what is known here now; what was known when the change was judged may be older. */
    private void refuse(Change change, Verdict verdict, long judgedBy) {
        if (judgedBy == states) {
            answer(change, verdict);
        } else {
            line.addFirst(change);
            next();
        }
    }

    /**
     * What the change came to is read off the charter, not off the last delivery: between the delivery and this call others may have been
     * delivered, such as the proposal of a former leader that was resubmitted to this one.
     */
    void outcome(long of, Outcome outcome) {
        if (of != proposal || under == null) {
            return;
        }
        Change change = under;
        under = null;
        Verdict verdict = charter.judge(change.verb, Charter.base(change.call.base()), change.call.body());
        TALE.tell("change", "verb", change.verb, "outcome", outcome, "verdict", verdict.getClass().getSimpleName(), "revision",
            charter.creed().revision());
        if (verdict instanceof Verdict.TakenBefore || outcome == Outcome.COMMITTED && verdict instanceof Verdict.Stale) {
            answer(change, verdict);
        } else {
            change.call.refuse(503, "keep.unclear", "not known to be kept; send it again");
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
            states++;
            news.run();
        }
    }

    @Override
    public void deliver(long index, byte[] change) {
        if (charter.deliver(change) instanceof Verdict.Taken) {
            states++;
            news.run();
        }
    }
}
