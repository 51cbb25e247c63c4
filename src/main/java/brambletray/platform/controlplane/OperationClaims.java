package brambletray.platform.controlplane;

import brambletray.platform.configuration.KeyDigest;
import brambletray.platform.logging.EventLog;
import brambletray.platform.operations.ClaimGranted;
import brambletray.platform.operations.ClaimHeld;
import brambletray.platform.operations.ClaimId;
import brambletray.platform.operations.ClaimRelease;
import brambletray.platform.operations.ClaimReleased;
import brambletray.platform.operations.ClaimRequest;
import brambletray.platform.operations.ClaimUnavailable;
import brambletray.platform.operations.OperationBatch;
import brambletray.platform.operations.OperationCommand;
import brambletray.platform.operations.OperationIdentity;
import brambletray.platform.operations.OperationRegistry;
import brambletray.platform.operations.OperationRegistry.ActiveClaim;
import brambletray.platform.operations.OperationRegistry.Outcome;
import brambletray.platform.operations.TenantAssignment;
import brambletray.platform.replication.ProposalOutcome;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Claims of edges on operations at one member: collected into batches, replicated, and answered once they are
 * committed (group commit: while batches are in flight, commands gather for the next). A claim is acknowledged only
 * after it has been applied, so it is on enough disks; whether this member still is the coordinator by then does not
 * matter. For the event loop only.
 */
final class OperationClaims implements ClaimHandler, CoreStateMachine.Listener {
    private static final EventLog LOG = EventLog.of("controlplane");
    /** Batches that wait for their commit at one time. */
    private static final int MAX_BATCHES_IN_FLIGHT = 2;

    private static final int MAX_BATCH_COMMANDS = 512;
    /** Commands that gather, beyond which a claim is refused. */
    private static final int MAX_QUEUED_COMMANDS = 4_096;
    /** Releases that gather, beyond which one is dropped; the edge sends it again. */
    private static final int MAX_QUEUED_RELEASES = 4 * MAX_QUEUED_COMMANDS;
    /** Claims and releases that are remembered, beyond which a claim is refused: 3 MB of a snapshot. */
    static final int MAX_REMEMBERED = 65_536;
    /** Retry delay in ms reported to an edge whose claim could not be committed. */
    private static final int RETRY_AFTER_MS = 300;
    /** Retry delay in ms reported to an edge with an older configuration: about what a change takes to reach it. */
    private static final int OUTDATED_RETRY_MS = 400;

    /** How commands are replicated and answered. */
    interface Access {
        /** Proposes a change; {@link #onProposalCompleted} follows, not before this returns. */
        void propose(long token, byte[] change);

        /** Sends to an edge that follows the coordinator here; lost where there is none. */
        void send(String edge, Object frame);

        /**
         * Name of the tenant that holds this credential in the configuration that this member has applied; empty if
         * none does.
         */
        String tenantOf(KeyDigest credential);

        /** Steady ms. */
        long nowMs();
    }

    private enum CommandKind {
        CLAIM,
        RELEASE
    }

    /** What a command is recognised by when it comes again. */
    private record CommandId(CommandKind kind, ClaimId claim) {
        static CommandId of(OperationCommand command) {
            return new CommandId(
                    command instanceof OperationCommand.Claim ? CommandKind.CLAIM : CommandKind.RELEASE,
                    command.claim());
        }
    }

    /**
     * A command on its way, and the edge that waits for it.
     *
     * @param assignment the assignment by which the edge named the operation; null for a claim without a credential and
     *     for a release
     */
    private record PendingCommand(OperationCommand command, String edge, TenantAssignment assignment) {}

    private final OperationRegistry registry;
    private final Access access;
    private final long windowMs;
    /** Not in a batch yet, in the order in which they came. */
    private final ArrayDeque<PendingCommand> queue = new ArrayDeque<>();
    /** In the queue or in a batch, and not answered. */
    private final Map<CommandId, PendingCommand> pending = new HashMap<>();
    /** Commands of the batches in flight, by the token of their proposal. */
    private final Map<Long, List<CommandId>> batches = new HashMap<>();

    private final long firstToken;
    private long nextToken;

    /**
     * {@code windowMs}: for how long a claim stands; {@code firstToken}: tokens of proposals are drawn from here on.
     */
    OperationClaims(OperationRegistry registry, Access access, long windowMs, long firstToken) {
        this.registry = registry;
        this.access = access;
        this.windowMs = windowMs;
        this.firstToken = firstToken;
        nextToken = firstToken;
    }

    /** Whether the proposal of this token is one of this object's. */
    boolean isOwnToken(long token) {
        return token >= firstToken;
    }

    @Override
    public void onClaim(String edge, ClaimRequest request) {
        OperationIdentity operation = request.operation();
        ActiveClaim holder = registry.holder(operation.names(), access.nowMs());
        if (holder != null) {
            // what has been applied is committed: no need to ask the others
            answerClaim(edge, request.claim(), operation.assignment(), holder);
        } else if (queue.size() >= MAX_QUEUED_COMMANDS) {
            access.send(edge, new ClaimUnavailable(request.claim(), RETRY_AFTER_MS));
        } else if (registry.size() >= MAX_REMEMBERED) {
            access.send(edge, new ClaimUnavailable(request.claim(), RETRY_AFTER_MS));
            forgetExpired();
        } else {
            OperationCommand claim = new OperationCommand.Claim(request.claim(), operation.names(), edge);
            enqueue(new PendingCommand(claim, edge, operation.assignment()));
        }
    }

    @Override
    public void onRelease(String edge, ClaimRelease request) {
        // the edge waits for its claim no longer; where it still gathers, it need not be replicated
        pending.remove(new CommandId(CommandKind.CLAIM, request.claim()));
        if (queue.size() < MAX_QUEUED_RELEASES) {
            OperationCommand release = new OperationCommand.Release(request.claim(), request.key());
            enqueue(new PendingCommand(release, edge, null));
        }
    }

    /** Commands that have come and are not answered. */
    int waitingCommands() {
        return pending.size();
    }

    /** Batches that wait for their commit. */
    int batchesInFlight() {
        return batches.size();
    }

    /** Whether nothing waits for its commit. */
    boolean isIdle() {
        return pending.isEmpty() && batches.isEmpty();
    }

    /** Claims expire with the log's time, which only batches advance: where there is none, an empty one. */
    private void forgetExpired() {
        if (batches.isEmpty()) {
            propose(List.of());
        }
    }

    private void enqueue(PendingCommand added) {
        if (pending.putIfAbsent(CommandId.of(added.command()), added) == null) {
            queue.add(added);
            proposeNext();
        }
    }

    private void proposeNext() {
        while (!queue.isEmpty() && batches.size() < MAX_BATCHES_IN_FLIGHT) {
            List<OperationCommand> commands = pollBatch();
            if (!commands.isEmpty()) {
                propose(commands);
            }
        }
    }

    /** The next commands that gather, but for claims that were released since. */
    private List<OperationCommand> pollBatch() {
        List<OperationCommand> commands = new ArrayList<>();
        while (!queue.isEmpty() && commands.size() < MAX_BATCH_COMMANDS) {
            PendingCommand next = queue.poll();
            if (pending.get(CommandId.of(next.command())) == next) {
                commands.add(next.command());
            }
        }
        return commands;
    }

    private void propose(List<OperationCommand> commands) {
        long token = nextToken++;
        batches.put(token, commands.stream().map(CommandId::of).toList());
        access.propose(token, new OperationBatch(registry.stamp(access.nowMs()), windowMs, commands).encode());
    }

    @Override
    public void onOperationsApplied(List<Outcome> outcomes) {
        for (Outcome outcome : outcomes) {
            PendingCommand command = pending.remove(CommandId.of(outcome.command()));
            if (command == null) {
                continue;
            }
            if (command.command() instanceof OperationCommand.Claim) {
                answerClaim(command.edge(), command.command().claim(), command.assignment(), outcome.holder());
            } else {
                access.send(command.edge(), new ClaimReleased(command.command().claim()));
            }
        }
    }

    /** {@code holder} null: the claim was released before. */
    private void answerClaim(String edge, ClaimId claim, TenantAssignment assignment, ActiveClaim holder) {
        if (holder == null) {
            access.send(edge, new ClaimUnavailable(claim, RETRY_AFTER_MS));
        } else if (!holder.id().equals(claim)) {
            access.send(edge, new ClaimHeld(claim, holder.id(), holder.edge()));
        } else if (isOutdated(assignment)) {
            logOutdated(edge, assignment);
            access.send(edge, new ClaimUnavailable(claim, OUTDATED_RETRY_MS));
        } else {
            access.send(edge, new ClaimGranted(claim));
        }
    }

    /**
     * Whether the edge took the credential for another tenant's than the configuration here. The edge has an older one
     * then: the log orders this claim after every configuration that the edge had seen, and the claim is applied here.
     * Another edge may have named the same operation by the credential's present tenant.
     */
    private boolean isOutdated(TenantAssignment assignment) {
        return assignment != null && !access.tenantOf(assignment.credential()).equals(assignment.tenant());
    }

    private void logOutdated(String edge, TenantAssignment assignment) {
        LOG.info("operation-claim-outdated")
                .with("edge", edge)
                .with("tenant-at-edge", assignment.tenant())
                .with("tenant", access.tenantOf(assignment.credential()))
                .log();
    }

    /** The outcome of a batch. What is not known to be committed may be applied later; its edges claim again. */
    void onProposalCompleted(long token, ProposalOutcome outcome) {
        List<CommandId> ids = batches.remove(token);
        if (ids == null) {
            return;
        }
        int unanswered = 0;
        for (CommandId id : ids) {
            PendingCommand command = pending.remove(id);
            if (command == null) {
                continue;
            }
            unanswered++;
            if (id.kind() == CommandKind.CLAIM) {
                access.send(command.edge(), new ClaimUnavailable(id.claim(), RETRY_AFTER_MS));
            }
        }
        if (unanswered > 0) {
            LOG.info("operation-batch-failed")
                    .with("outcome", outcome)
                    .with("commands", unanswered)
                    .log();
        }
        proposeNext();
    }
}
