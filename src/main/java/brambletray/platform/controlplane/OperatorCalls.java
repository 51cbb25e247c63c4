package brambletray.platform.controlplane;

import brambletray.platform.configuration.ChangeDecision;
import brambletray.platform.configuration.ChangeKind;
import brambletray.platform.configuration.ConfigurationException;
import brambletray.platform.configuration.ConfigurationStateMachine;
import brambletray.platform.logging.EventLog;
import brambletray.platform.replication.ProposalOutcome;
import brambletray.platform.replication.ReplicaRole;
import brambletray.platform.replication.ReplicaStatus;
import brambletray.platform.replication.StateMachine;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The operators' calls at one member: judged by the configuration as it stands, put into the one order, answered once
 * they are kept. One change is under way at a time, so that the next is judged by what came of it. A member that does
 * not lead sends the caller on by 307.
 *
 * <p>A refusal is final to an operator (400 and 412 end its call at once), so it is a read and takes a confirming round
 * (read index) like one: a member that has been cut off still believes to lead and judges by an old configuration.
 * Where the configuration moved on in the meantime, the change is judged anew. What was taken before needs no round:
 * what has been delivered here is kept.
 */
final class OperatorCalls implements StateMachine {
    private static final EventLog LOG = EventLog.of("controlplane");
    /** Changes that wait for the one under way, or for a leader. */
    private static final int QUEUE = 64;
    /** Bytes of bodies of calls that wait here, beyond which a further one is told to come back: six of the largest. */
    private static final long HELD = 24 << 20;
    /**
     * ms that a call may wait before it gets no clear answer; below ack-ms of all deployments, so that a caller asks
     * again in time.
     */
    private static final int PATIENCE = 2_500;
    /**
     * The same at a member out of touch: callers wait a second and then go to another, which an answer lets them do at
     * once.
     */
    private static final int HOLD = 800;
    /**
     * ms out of touch after which no call is held: that is longer than a change of view takes, this member is cut off.
     */
    private static final int CUT_OFF = 1_500;

    /** What the operators' calls need of the member. */
    interface Order {
        /** Where it stands now. */
        ReplicaStatus status();

        /**
         * Control-plane address of the leader that the others go on with, once this member has been told to end and is
         * out; else null.
         */
        default String successor() {
            return null;
        }

        void propose(long token, byte[] change);

        /** Whether this member still knows the newest of all: answered by {@link #confirmed}. */
        void confirm(long token);
    }

    private record Change(ControlCall call, ChangeKind verb, long base, long since) {}

    /** A confirming round and the call that waits for it. */
    private record Round(ControlCall call, long since, Runnable yes, Runnable no) {}

    private static final byte[] DONE = {'{', '}'};

    private final Order order;
    private final Runnable news;
    private final ConfigurationStateMachine stateMachine = new ConfigurationStateMachine();
    private final ArrayDeque<Change> queue = new ArrayDeque<>();
    private final Map<Long, Round> rounds = new HashMap<>();
    private Change inFlight;
    private long token;
    private long proposal;
    /** Counts states of the charter: what was judged by an earlier one is judged anew. */
    private long version;
    /** Steady ms of the last tick. */
    private long now;
    /** Since when no leader is heard here; -1: in touch. */
    private long outSince = -1;

    /** {@code news}: called after each new configuration. */
    OperatorCalls(Order order, Runnable news) {
        this.order = order;
        this.news = news;
    }

    ConfigurationStateMachine stateMachine() {
        return stateMachine;
    }

    void register(Dispatch<ControlPlaneServer.Desk> table) {
        table.on("POST", "/brambletray/configuration/replace", (call, part) -> change(call, ChangeKind.REPLACE))
                .on("POST", "/brambletray/configuration/modify", (call, part) -> change(call, ChangeKind.MODIFY))
                .on("GET", "/brambletray/configuration/show", (call, part) -> show(call));
    }

    /** Steady ms. Ends calls that have waited too long. */
    void tick(long at) {
        now = at;
        boolean inTouch = inTouch();
        outSince = inTouch ? -1 : outSince < 0 ? now : outSince;
        next();
        queue.removeIf(change -> late(change.since, inTouch) && busy(change.call));
        rounds.values().stream().filter(round -> late(round.since, inTouch)).forEach(round -> unsure(round.call));
        if (inFlight != null && late(inFlight.since, inTouch)) {
            inFlight.call.refuse(503, "controlplane.unclear", "not known to be kept yet; send it again");
        }
    }

    /**
     * Whether it may judge: it leads the view in force, hears a majority of it and its disk is well. A member that
     * begins a change of view, or has promised to one, doesn't; nor does it name the former leader, as two that name
     * each other would send a caller round in a circle.
     */
    private boolean leading() {
        ReplicaStatus status = order.status();
        return status.isLeader() && status.role() == ReplicaRole.MEMBER;
    }

    /** Whether no call waits for its answer: the process may end. */
    boolean idle() {
        return inFlight == null && queue.isEmpty() && rounds.isEmpty();
    }

    /** Control-plane address of the leader, if it is another and heard; else null. */
    private String leader() {
        String successor = order.successor();
        if (successor != null) {
            return successor;
        }
        ReplicaStatus status = order.status();
        boolean heard = !status.isLeader() && status.role() == ReplicaRole.MEMBER && status.leader() != null;
        return heard && !status.leader().address().equals(status.self().address())
                ? status.leader().address()
                : null;
    }

    private boolean inTouch() {
        return leading() || leader() != null;
    }

    private boolean late(long since, boolean inTouch) {
        return now - since > (inTouch ? PATIENCE : HOLD);
    }

    /** The member leads, leads no longer, or the view has changed: those in line go on. */
    void changed() {
        next();
    }

    private boolean sendOn(ControlCall call) {
        if (leading()) {
            return false;
        }
        String leader = leader();
        if (leader == null) {
            call.refuse(503, "controlplane.no-leader", "the members of the core are not in touch");
        } else {
            call.answer().give(307, null, Map.of("Location", "http://" + leader + call.path()));
        }
        return true;
    }

    private static boolean busy(ControlCall call) {
        call.refuse(503, "controlplane.busy", "other changes are under way, or no leader is known");
        return true;
    }

    private static void unsure(ControlCall call) {
        call.refuse(503, "controlplane.unsure", "not sure to know the newest");
    }

    private void show(ControlCall call) {
        if (!sendOn(call)) {
            confirm(call, now, () -> call.give(200, stateMachine.configuration().json()));
        }
    }

    private void confirm(ControlCall call, long since, Runnable yes) {
        rounds.put(++token, new Round(call, since, yes, () -> {
            // this member has left meanwhile: another can say
            if (order.successor() == null || !sendOn(call)) {
                unsure(call);
            }
        }));
        order.confirm(token);
    }

    void confirmed(long of, boolean yes) {
        Round round = rounds.remove(of);
        if (round != null) {
            (yes ? round.yes : round.no).run();
        }
    }

    /**
     * What was taken before is acknowledged by any member that has it delivered: that is kept, whoever leads and
     * whatever came since.
     */
    private void change(ControlCall call, ChangeKind verb) {
        long base;
        try {
            base = ConfigurationStateMachine.base(call.base());
        } catch (ConfigurationException fault) {
            // a fault of the call itself, whatever the configuration
            answer(call, new ChangeDecision.Invalid(fault));
            return;
        }
        if (stateMachine.taken(verb, base, call.body())) {
            call.give(200, DONE);
        } else if (queue.size() >= QUEUE || held() + call.body().length > HELD) {
            busy(call);
        } else if (!inTouch() && outSince >= 0 && now - outSince > CUT_OFF) {
            sendOn(call);
        } else {
            queue.add(new Change(call, verb, base, now));
            next();
        }
    }

    private long held() {
        long held = inFlight == null ? 0 : inFlight.call.body().length;
        for (Change change : queue) {
            held += change.call.body().length;
        }
        for (Round round : rounds.values()) {
            held += round.call.body().length;
        }
        return held;
    }

    /** Those in line: judged one by one at the leader, sent on elsewhere, held for a while where no leader is heard. */
    private void next() {
        while (!queue.isEmpty() && (leading() ? inFlight == null : leader() != null)) {
            Change change = queue.poll();
            if (!sendOn(change.call)) {
                judge(change);
            }
        }
    }

    private void judge(Change change) {
        ChangeDecision verdict = stateMachine.judge(change.verb, change.base, change.call.body());
        if (verdict instanceof ChangeDecision.Fine fine) {
            inFlight = change;
            proposal = ++token;
            order.propose(proposal, fine.change());
        } else if (verdict instanceof ChangeDecision.TakenBefore || verdict instanceof ChangeDecision.Forgotten) {
            answer(change.call, verdict);
        } else {
            long judgedBy = version;
            confirm(change.call, change.since, () -> refuse(change, verdict, judgedBy));
        }
    }

    /** The round has confirmed what is known here now; what was known when the change was judged may be older. */
    private void refuse(Change change, ChangeDecision verdict, long judgedBy) {
        if (judgedBy == version) {
            answer(change.call, verdict);
        } else {
            queue.addFirst(change);
            next();
        }
    }

    /**
     * What the change came to is read off the charter, not off the last delivery: between the delivery and this call
     * others may have been delivered, such as the proposal of a former leader that was resubmitted to this one.
     */
    void outcome(long of, ProposalOutcome outcome) {
        if (of != proposal || inFlight == null) {
            return;
        }
        Change change = inFlight;
        inFlight = null;
        ChangeDecision verdict = stateMachine.judge(change.verb, change.base, change.call.body());
        boolean taken = verdict instanceof ChangeDecision.TakenBefore;
        LOG.tell(
                "change",
                "verb",
                change.verb,
                "base",
                change.base,
                "outcome",
                outcome,
                "taken",
                taken,
                "revision",
                stateMachine.configuration().revision());
        if (taken || outcome == ProposalOutcome.COMMITTED && verdict instanceof ChangeDecision.Stale) {
            answer(change.call, verdict);
        } else if (outcome != ProposalOutcome.REJECTED || order.successor() == null || !sendOn(change.call)) {
            change.call.refuse(503, "controlplane.unclear", "not known to be kept; send it again");
        }
        next();
    }

    private static void answer(ControlCall call, ChangeDecision verdict) {
        if (verdict instanceof ChangeDecision.Invalid invalid) {
            LOG.tell(
                    "refused",
                    "code",
                    invalid.fault().code(),
                    "why",
                    invalid.fault().getMessage());
            call.refuse(400, invalid.fault().code(), invalid.fault().getMessage());
        } else if (verdict instanceof ChangeDecision.Stale stale) {
            LOG.tell("refused", "code", "controlplane.stale", "base", call.base(), "current", stale.current());
            call.refuse(412, "controlplane.stale", "the current revision is " + stale.current());
        } else if (verdict instanceof ChangeDecision.Forgotten forgotten) {
            call.refuse(
                    503,
                    "controlplane.forgotten",
                    "what was taken before revision " + forgotten.oldest()
                            + " isn't remembered; look at the configuration");
        } else {
            call.give(200, DONE);
        }
    }

    @Override
    public byte[] snapshot() {
        return stateMachine.snapshot();
    }

    @Override
    public byte[] replay(byte[] snapshot, List<byte[]> changes) {
        ConfigurationStateMachine other = new ConfigurationStateMachine();
        other.restore(snapshot);
        changes.forEach(other::deliver);
        return other.snapshot();
    }

    @Override
    public void restore(byte[] snapshot) {
        boolean fresh = snapshot.length == 0 && stateMachine.configuration().revision() == 0;
        stateMachine.restore(snapshot);
        version++;
        if (!fresh) {
            news.run();
        }
    }

    @Override
    public void apply(long index, byte[] change) {
        if (stateMachine.deliver(change) instanceof ChangeDecision.Taken) {
            version++;
            news.run();
        }
    }
}
