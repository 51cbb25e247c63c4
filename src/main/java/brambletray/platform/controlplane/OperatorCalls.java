package brambletray.platform.controlplane;

import brambletray.platform.configuration.ChangeDecision;
import brambletray.platform.configuration.ChangeKind;
import brambletray.platform.configuration.ConfigurationException;
import brambletray.platform.configuration.ConfigurationStateMachine;
import brambletray.platform.logging.EventLog;
import brambletray.platform.replication.ProposalOutcome;
import brambletray.platform.replication.ReplicaStatus;
import brambletray.platform.replication.StateMachine;
import java.util.ArrayDeque;
import java.util.List;

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

    private final ReplicaAccess replica;
    private final Runnable configurationListener;
    private final ConfigurationStateMachine stateMachine = new ConfigurationStateMachine();
    private final ArrayDeque<PendingChange> queue = new ArrayDeque<>();
    private final LeaderContact leaderContact;
    private final PendingReads pendingReads;
    private PendingChange inFlight;
    /** Of the change in flight, or of the last one. */
    private long proposalToken;
    /** Counts states of the configuration: what was evaluated against an earlier one is evaluated again. */
    private long stateVersion;
    /** Steady ms of the last tick. */
    private long nowMs;

    /** {@code configurationListener}: called after each new configuration. */
    OperatorCalls(ReplicaAccess replica, Runnable configurationListener) {
        this.replica = replica;
        this.configurationListener = configurationListener;
        leaderContact = new LeaderContact(replica);
        pendingReads = new PendingReads(replica, leaderContact);
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
        leaderContact.tick(nowMs);
        boolean connected = leaderContact.isConnected();
        processQueue();
        queue.removeIf(change -> {
            boolean expired = isExpired(change.receivedAtMs, connected);
            if (expired) {
                ChangeResponses.rejectBusy(change.call);
            }
            return expired;
        });
        pendingReads.rejectIf(receivedAtMs -> isExpired(receivedAtMs, connected));
        if (inFlight != null && isExpired(inFlight.receivedAtMs, connected)) {
            inFlight.call.reject(503, "controlplane.unclear", "not known to be kept yet; send it again");
        }
    }

    /** Whether no call waits for its answer: the process may end. */
    boolean isIdle() {
        return inFlight == null && queue.isEmpty() && pendingReads.isEmpty();
    }

    private boolean isExpired(long receivedAtMs, boolean connected) {
        return nowMs - receivedAtMs > (connected ? CALL_TIMEOUT_MS : DISCONNECTED_CALL_TIMEOUT_MS);
    }

    /** The member leads, leads no longer, or the view has changed: queued calls go on. */
    void onStatusChanged() {
        processQueue();
    }

    private void show(ControlCall call) {
        if (!leaderContact.redirect(call)) {
            pendingReads.confirm(
                    call,
                    nowMs,
                    () -> call.respond(200, stateMachine.configuration().json()));
        }
    }

    void onReadIndexCompleted(long token, boolean confirmed) {
        pendingReads.onReadIndexCompleted(token, confirmed);
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
            ChangeResponses.respond(call, new ChangeDecision.Invalid(error));
            return;
        }
        if (stateMachine.wasApplied(kind, baseRevision, call.body())) {
            ChangeResponses.acknowledge(call);
        } else if (queue.size() >= MAX_QUEUED_CHANGES || queuedBytes() + call.body().length > MAX_QUEUED_BYTES) {
            ChangeResponses.rejectBusy(call);
        } else if (leaderContact.isCutOff(nowMs)) {
            leaderContact.redirect(call);
        } else {
            queue.add(new PendingChange(call, kind, baseRevision, nowMs));
            processQueue();
        }
    }

    private long queuedBytes() {
        long bytes = pendingReads.bodyBytes() + (inFlight == null ? 0 : inFlight.call.body().length);
        for (PendingChange change : queue) {
            bytes += change.call.body().length;
        }
        return bytes;
    }

    /**
     * Queued changes: evaluated one by one at the leader, redirected elsewhere, queued for a while where no leader is
     * heard.
     */
    private void processQueue() {
        while (!queue.isEmpty() && mayProcessNext()) {
            PendingChange change = queue.poll();
            if (!leaderContact.redirect(change.call)) {
                evaluate(change);
            }
        }
    }

    private boolean mayProcessNext() {
        return leaderContact.isHealthyLeader() ? inFlight == null : leaderContact.otherLeaderAddress() != null;
    }

    private void evaluate(PendingChange change) {
        ChangeDecision decision = stateMachine.evaluate(change.kind, change.baseRevision, change.call.body());
        if (decision instanceof ChangeDecision.Proposable proposable) {
            inFlight = change;
            replica.propose(++proposalToken, proposable.encodedChange());
        } else if (decision instanceof ChangeDecision.AlreadyApplied
                || decision instanceof ChangeDecision.HistoryExpired) {
            ChangeResponses.respond(change.call, decision);
        } else {
            long evaluatedVersion = stateVersion;
            pendingReads.confirm(
                    change.call, change.receivedAtMs, () -> rejectConfirmed(change, decision, evaluatedVersion));
        }
    }

    /**
     * The read index has confirmed the present state; the state against which the change was evaluated may be older.
     */
    private void rejectConfirmed(PendingChange change, ChangeDecision decision, long evaluatedVersion) {
        if (evaluatedVersion == stateVersion) {
            ChangeResponses.respond(change.call, decision);
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
            ChangeResponses.respond(change.call, decision);
        } else if (outcome != ProposalOutcome.REJECTED || !leaderContact.redirectToSuccessor(change.call)) {
            change.call.reject(503, "controlplane.unclear", "not known to be kept; send it again");
        }
        processQueue();
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
