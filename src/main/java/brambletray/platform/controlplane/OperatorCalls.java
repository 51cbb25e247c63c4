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
 * The operators' calls about the configuration at one member: evaluated against the current configuration,
 * replicated, and answered once they are committed. One change is in flight at a time, so that the next is evaluated
 * against its result. A member that does not lead redirects the caller by 307.
 *
 * <p>A rejection is final to an operator (400 and 412 end its call at once), so it takes a read index like a read: a
 * member that has been cut off still believes to lead and evaluates against an old configuration. Where the
 * configuration has changed in the meantime, the change is evaluated again. A change that was applied before needs no
 * read index: what has been applied here is committed.
 */
final class OperatorCalls implements StateMachine {
    private static final EventLog LOG = EventLog.of("controlplane");
    /** Changes that wait for the one in flight, or for a leader. */
    private static final int MAX_QUEUED_CHANGES = 64;
    /** Bytes of bodies of pending calls, beyond which a further one is rejected as busy: six of the largest. */
    private static final long MAX_QUEUED_BYTES = 24 << 20;
    /**
     * ms that a call may wait before it gets no clear answer; below ack-ms of all deployments, so that a caller
     * retries in time.
     */
    private static final int CALL_TIMEOUT_MS = 2_500;
    /**
     * The same at a member out of touch: callers wait a second and then turn to another, which an answer lets them do
     * at once.
     */
    private static final int DISCONNECTED_CALL_TIMEOUT_MS = 800;
    /** ms out of touch after which no call is queued: longer than a view change takes, so this member is cut off. */
    private static final int DISCONNECTED_REJECT_MS = 1_500;

    /** What the operators' calls need of the replica. */
    interface ReplicaAccess {
        /** Its present status. */
        ReplicaStatus status();

        /**
         * Control-plane address of the leader that the others go on with, once this member is about to end and is not
         * in their view any more; else null.
         */
        default String successor() {
            return null;
        }

        void propose(long token, byte[] change);

        /** Asks whether this member still has the newest state: answered by {@link #onReadIndexCompleted}. */
        void requestReadIndex(long token);
    }

    private record PendingChange(ControlCall call, ChangeKind kind, long baseRevision, long receivedAtMs) {}

    /** A read index in flight and the call that waits for it. */
    private record PendingRead(ControlCall call, long receivedAtMs, Runnable onConfirmed, Runnable onUnconfirmed) {}

    private static final byte[] EMPTY_JSON_OBJECT = {'{', '}'};

    private final ReplicaAccess replica;
    private final Runnable configurationListener;
    private final ConfigurationStateMachine stateMachine = new ConfigurationStateMachine();
    private final ArrayDeque<PendingChange> queue = new ArrayDeque<>();
    private final Map<Long, PendingRead> pendingReads = new HashMap<>();
    private PendingChange inFlight;
    private long lastToken;
    private long proposalToken;
    /** Counts states of the configuration: what was evaluated against an earlier one is evaluated again. */
    private long stateVersion;
    /** Steady ms of the last tick. */
    private long nowMs;
    /** Since when no leader is heard here, steady ms; -1 while one is. */
    private long disconnectedSinceMs = -1;

    /** {@code configurationListener}: called after each new configuration. */
    OperatorCalls(ReplicaAccess replica, Runnable configurationListener) {
        this.replica = replica;
        this.configurationListener = configurationListener;
    }

    ConfigurationStateMachine stateMachine() {
        return stateMachine;
    }

    void register(CallRouter<ControlPlaneServer.CallHandler> table) {
        table.route(
                        "POST",
                        "/brambletray/configuration/replace",
                        (call, wildcard) -> onChange(call, ChangeKind.REPLACE))
                .route(
                        "POST",
                        "/brambletray/configuration/modify",
                        (call, wildcard) -> onChange(call, ChangeKind.MODIFY))
                .route("GET", "/brambletray/configuration/show", (call, wildcard) -> show(call));
    }

    /** Steady ms. Ends calls that have waited too long. */
    void tick(long timeMs) {
        nowMs = timeMs;
        boolean connected = isConnected();
        disconnectedSinceMs = connected ? -1 : disconnectedSinceMs < 0 ? nowMs : disconnectedSinceMs;
        processQueue();
        queue.removeIf(change -> isExpired(change.receivedAtMs, connected) && rejectBusy(change.call));
        pendingReads.values().stream()
                .filter(read -> isExpired(read.receivedAtMs, connected))
                .forEach(read -> rejectUnconfirmed(read.call));
        if (inFlight != null && isExpired(inFlight.receivedAtMs, connected)) {
            inFlight.call.reject(503, "controlplane.unclear", "not known to be kept yet; send it again");
        }
    }

    /**
     * Whether it may evaluate changes: it leads the active view, hears a majority of it and its disk is healthy. A
     * member that starts a view change, or has promised to one, may not; nor does it name the former leader, as two
     * that name each other would send a caller round in a circle.
     */
    private boolean isHealthyLeader() {
        ReplicaStatus status = replica.status();
        return status.isLeader() && status.role() == ReplicaRole.MEMBER;
    }

    /** Whether no call waits for its answer: the process may end. */
    boolean isIdle() {
        return inFlight == null && queue.isEmpty() && pendingReads.isEmpty();
    }

    /** Control-plane address of the leader, if it is another and heard; else null. */
    private String otherLeaderAddress() {
        String successor = replica.successor();
        if (successor != null) {
            return successor;
        }
        ReplicaStatus status = replica.status();
        boolean heard = !status.isLeader() && status.role() == ReplicaRole.MEMBER && status.leader() != null;
        return heard && !status.leader().address().equals(status.self().address())
                ? status.leader().address()
                : null;
    }

    private boolean isConnected() {
        return isHealthyLeader() || otherLeaderAddress() != null;
    }

    private boolean isExpired(long receivedAtMs, boolean connected) {
        return nowMs - receivedAtMs > (connected ? CALL_TIMEOUT_MS : DISCONNECTED_CALL_TIMEOUT_MS);
    }

    /** The member leads, leads no longer, or the view has changed: queued calls go on. */
    void onStatusChanged() {
        processQueue();
    }

    private boolean redirect(ControlCall call) {
        if (isHealthyLeader()) {
            return false;
        }
        String leader = otherLeaderAddress();
        if (leader == null) {
            call.reject(503, "controlplane.no-leader", "the members of the core are not in touch");
        } else {
            call.responder().respond(307, null, Map.of("Location", "http://" + leader + call.path()));
        }
        return true;
    }

    private static boolean rejectBusy(ControlCall call) {
        call.reject(503, "controlplane.busy", "other changes are under way, or no leader is known");
        return true;
    }

    private static void rejectUnconfirmed(ControlCall call) {
        call.reject(503, "controlplane.unsure", "not sure to know the newest");
    }

    private void show(ControlCall call) {
        if (!redirect(call)) {
            confirmAndRun(
                    call,
                    nowMs,
                    () -> call.respond(200, stateMachine.configuration().json()));
        }
    }

    private void confirmAndRun(ControlCall call, long receivedAtMs, Runnable onConfirmed) {
        pendingReads.put(++lastToken, new PendingRead(call, receivedAtMs, onConfirmed, () -> {
            // this member has left the view meanwhile: another can answer
            if (replica.successor() == null || !redirect(call)) {
                rejectUnconfirmed(call);
            }
        }));
        replica.requestReadIndex(lastToken);
    }

    void onReadIndexCompleted(long token, boolean confirmed) {
        PendingRead read = pendingReads.remove(token);
        if (read != null) {
            (confirmed ? read.onConfirmed : read.onUnconfirmed).run();
        }
    }

    /**
     * A change that was applied before is acknowledged by any member that has applied it: it is committed, whoever
     * leads and whatever came since.
     */
    private void onChange(ControlCall call, ChangeKind kind) {
        long baseRevision;
        try {
            baseRevision = ConfigurationStateMachine.parseBaseRevision(call.baseRevision());
        } catch (ConfigurationException error) {
            // an error of the call itself, whatever the configuration
            respond(call, new ChangeDecision.Invalid(error));
            return;
        }
        if (stateMachine.wasApplied(kind, baseRevision, call.body())) {
            call.respond(200, EMPTY_JSON_OBJECT);
        } else if (queue.size() >= MAX_QUEUED_CHANGES || queuedBytes() + call.body().length > MAX_QUEUED_BYTES) {
            rejectBusy(call);
        } else if (!isConnected() && disconnectedSinceMs >= 0 && nowMs - disconnectedSinceMs > DISCONNECTED_REJECT_MS) {
            redirect(call);
        } else {
            queue.add(new PendingChange(call, kind, baseRevision, nowMs));
            processQueue();
        }
    }

    private long queuedBytes() {
        long bytes = inFlight == null ? 0 : inFlight.call.body().length;
        for (PendingChange change : queue) {
            bytes += change.call.body().length;
        }
        for (PendingRead read : pendingReads.values()) {
            bytes += read.call.body().length;
        }
        return bytes;
    }

    /**
     * Queued changes: evaluated one by one at the leader, redirected elsewhere, queued for a while where no leader is
     * heard.
     */
    private void processQueue() {
        while (!queue.isEmpty() && (isHealthyLeader() ? inFlight == null : otherLeaderAddress() != null)) {
            PendingChange change = queue.poll();
            if (!redirect(change.call)) {
                evaluate(change);
            }
        }
    }

    private void evaluate(PendingChange change) {
        ChangeDecision decision = stateMachine.evaluate(change.kind, change.baseRevision, change.call.body());
        if (decision instanceof ChangeDecision.Proposable proposable) {
            inFlight = change;
            proposalToken = ++lastToken;
            replica.propose(proposalToken, proposable.encodedChange());
        } else if (decision instanceof ChangeDecision.AlreadyApplied
                || decision instanceof ChangeDecision.HistoryExpired) {
            respond(change.call, decision);
        } else {
            long evaluatedVersion = stateVersion;
            confirmAndRun(change.call, change.receivedAtMs, () -> rejectConfirmed(change, decision, evaluatedVersion));
        }
    }

    /**
     * The read index has confirmed the present state; the state against which the change was evaluated may be older.
     */
    private void rejectConfirmed(PendingChange change, ChangeDecision decision, long evaluatedVersion) {
        if (evaluatedVersion == stateVersion) {
            respond(change.call, decision);
        } else {
            queue.addFirst(change);
            processQueue();
        }
    }

    /**
     * Evaluates the change again to learn its outcome: between its commit and this call others may have been applied,
     * such as a proposal of a former leader that was sent again.
     */
    void onProposalCompleted(long token, ProposalOutcome outcome) {
        if (token != proposalToken || inFlight == null) {
            return;
        }
        PendingChange change = inFlight;
        inFlight = null;
        ChangeDecision decision = stateMachine.evaluate(change.kind, change.baseRevision, change.call.body());
        boolean applied = decision instanceof ChangeDecision.AlreadyApplied;
        LOG.info("configuration-change")
                .with("verb", change.kind)
                .with("base", change.baseRevision)
                .with("outcome", outcome)
                .with("taken", applied)
                .with("revision", stateMachine.configuration().revision())
                .log();
        if (applied || outcome == ProposalOutcome.COMMITTED && decision instanceof ChangeDecision.Stale) {
            respond(change.call, decision);
        } else if (outcome != ProposalOutcome.REJECTED || replica.successor() == null || !redirect(change.call)) {
            change.call.reject(503, "controlplane.unclear", "not known to be kept; send it again");
        }
        processQueue();
    }

    private static void respond(ControlCall call, ChangeDecision decision) {
        if (decision instanceof ChangeDecision.Invalid invalid) {
            LOG.info("configuration-change-rejected")
                    .with("code", invalid.error().code())
                    .with("why", invalid.error().getMessage())
                    .log();
            call.reject(400, invalid.error().code(), invalid.error().getMessage());
        } else if (decision instanceof ChangeDecision.Stale stale) {
            LOG.info("configuration-change-rejected")
                    .with("code", "controlplane.stale")
                    .with("base", call.baseRevision())
                    .with("current", stale.currentRevision())
                    .log();
            call.reject(412, "controlplane.stale", "the current revision is " + stale.currentRevision());
        } else if (decision instanceof ChangeDecision.HistoryExpired expired) {
            call.reject(
                    503,
                    "controlplane.forgotten",
                    "what was taken before revision " + expired.oldestRevision()
                            + " isn't remembered; look at the configuration");
        } else {
            call.respond(200, EMPTY_JSON_OBJECT);
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
        changes.forEach(other::apply);
        return other.snapshot();
    }

    @Override
    public void restore(byte[] snapshot) {
        boolean unchanged = snapshot.length == 0 && stateMachine.configuration().revision() == 0;
        stateMachine.restore(snapshot);
        stateVersion++;
        if (!unchanged) {
            configurationListener.run();
        }
    }

    @Override
    public void apply(long index, byte[] change) {
        if (stateMachine.apply(change) instanceof ChangeDecision.Applied) {
            stateVersion++;
            configurationListener.run();
        }
    }
}
