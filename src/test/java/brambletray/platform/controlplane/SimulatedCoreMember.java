package brambletray.platform.controlplane;

import brambletray.platform.configuration.KeyDigest;
import brambletray.platform.operations.ClaimGranted;
import brambletray.platform.operations.ClaimHeld;
import brambletray.platform.operations.ClaimId;
import brambletray.platform.operations.ClaimReleased;
import brambletray.platform.operations.OperationBatch;
import brambletray.platform.operations.OperationRegistry;
import brambletray.platform.replication.ProposalOutcome;
import brambletray.platform.replication.SimulatedReplica;
import brambletray.platform.replication.StateMachine;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/** One process of a member in simulated time: claims on operations beside texts, with a steady clock of its own. */
final class SimulatedCoreMember implements SimulatedReplica.Application, OperationClaims.Access {
    /** The tenant of all credentials. */
    private static final String TENANT = "t";

    /** What a member has to do with. */
    interface Outside {
        /** Sends a frame to an edge. */
        void send(SimulatedCoreMember member, String edge, Object frame);

        /** Hands a batch to the replica. */
        default void propose(SimulatedCoreMember member, long token, byte[] change) {
            member.node.execute(() -> member.node.replica.propose(token, change, member.node.world.now));
        }

        /** ms by which the steady clock steps at this reading. */
        default long clockStepMs() {
            return 0;
        }
    }

    private static final long FIRST_TOKEN = 1L << 62;

    final SimulatedReplica node;
    final OperationRegistry registry;
    final OperationClaims claims;
    final List<Integer> snapshotSizes = new ArrayList<>();
    /** The processor's time that went into making them. */
    long snapshotNanos;

    private final CoreStateMachine stateMachine;
    private final Outside outside;
    private long clockOffsetMs;

    SimulatedCoreMember(SimulatedReplica node, long origin, long clockOffsetMs, long standsForMs, Outside outside) {
        this.node = node;
        this.clockOffsetMs = clockOffsetMs;
        this.outside = outside;
        registry = new OperationRegistry(origin, nowMs());
        claims = new OperationClaims(registry, this, standsForMs, FIRST_TOKEN);
        stateMachine = new CoreStateMachine(new Texts(node), registry, this::nowMs, claims);
    }

    /** The member that runs on this machine. */
    static SimulatedCoreMember of(SimulatedReplica node) {
        return (SimulatedCoreMember) node.application;
    }

    /** The claim that a frame to an edge decides; null: none. */
    static ClaimId claimOf(Object frame) {
        if (frame instanceof ClaimGranted granted) {
            return granted.claim();
        } else if (frame instanceof ClaimHeld held) {
            return held.claim();
        }
        return frame instanceof ClaimReleased released ? released.claim() : null;
    }

    /** A batch takes effect here without being replicated. */
    void applyAlone(long token, byte[] change) {
        claims.onOperationsApplied(registry.apply(OperationBatch.decode(change), nowMs()));
        claims.onProposalCompleted(token, ProposalOutcome.COMMITTED);
    }

    @Override
    public StateMachine stateMachine() {
        return new Measured();
    }

    @Override
    public boolean isOwnToken(long token) {
        return claims.isOwnToken(token);
    }

    @Override
    public void onProposalCompleted(long token, ProposalOutcome outcome) {
        claims.onProposalCompleted(token, outcome);
    }

    @Override
    public void propose(long token, byte[] change) {
        outside.propose(this, token, change);
    }

    @Override
    public void send(String edge, Object frame) {
        outside.send(this, edge, frame);
    }

    @Override
    public String tenantOf(KeyDigest credential) {
        return TENANT;
    }

    @Override
    public long nowMs() {
        clockOffsetMs += outside.clockStepMs();
        return node.world.now + clockOffsetMs;
    }

    /** Writes down what snapshots cost. */
    private final class Measured implements StateMachine {
        @Override
        public byte[] snapshot() {
            ThreadMXBean threads = ManagementFactory.getThreadMXBean();
            long startedAt = threads.getCurrentThreadCpuTime();
            byte[] snapshot = stateMachine.snapshot();
            snapshotNanos += threads.getCurrentThreadCpuTime() - startedAt;
            snapshotSizes.add(snapshot.length);
            return snapshot;
        }

        @Override
        public void restore(byte[] snapshot) {
            stateMachine.restore(snapshot);
        }

        @Override
        public byte[] replay(byte[] snapshot, List<byte[]> changes) {
            return stateMachine.replay(snapshot, changes);
        }

        @Override
        public void apply(long index, byte[] change) {
            stateMachine.apply(index, change);
        }
    }

    /** In the place of the configuration: texts, which random faults propose and check. */
    private static final class Texts implements StateMachine {
        private final SimulatedReplica node;

        Texts(SimulatedReplica node) {
            this.node = node;
        }

        private static byte[] bytes(List<String> texts) {
            return ("\u0001" + String.join("\n", texts)).getBytes(StandardCharsets.UTF_8);
        }

        private static List<String> texts(byte[] snapshot) {
            if (snapshot.length <= 1) {
                return new ArrayList<>();
            }
            String all = new String(snapshot, 1, snapshot.length - 1, StandardCharsets.UTF_8);
            return new ArrayList<>(List.of(all.split("\n")));
        }

        private static String text(byte[] change) {
            return new String(change, StandardCharsets.UTF_8).split(" ")[0];
        }

        @Override
        public byte[] snapshot() {
            return bytes(node.state);
        }

        @Override
        public void restore(byte[] snapshot) {
            node.state.clear();
            node.state.addAll(texts(snapshot));
            node.applied.clear();
            node.applied.addAll(node.state);
        }

        @Override
        public byte[] replay(byte[] snapshot, List<byte[]> changes) {
            List<String> all = texts(snapshot);
            all.addAll(changes.stream().map(Texts::text).collect(Collectors.toList()));
            return bytes(all);
        }

        @Override
        public void apply(long index, byte[] change) {
            String text = text(change);
            if (!node.applied.add(text)) {
                node.world.ruleChecker.fail(node.address + " applies " + text + " twice");
            }
            node.state.add(text);
            node.world.ruleChecker.onApplied(node, index, text);
        }
    }
}
