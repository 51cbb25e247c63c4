package brambletray.platform.controlplane;

import brambletray.platform.operations.ClaimGranted;
import brambletray.platform.operations.ClaimHeld;
import brambletray.platform.operations.ClaimId;
import brambletray.platform.operations.ClaimRelease;
import brambletray.platform.operations.ClaimReleased;
import brambletray.platform.operations.ClaimRequest;
import brambletray.platform.operations.OperationBatch;
import brambletray.platform.operations.OperationCommand;
import brambletray.platform.operations.OperationKey;
import brambletray.platform.operations.OperationRegistry;
import brambletray.platform.replication.ProposalOutcome;
import brambletray.platform.replication.RandomFaults;
import brambletray.platform.replication.SimulatedReplica;
import brambletray.platform.replication.SimulatedReplicas;
import brambletray.platform.replication.StateMachine;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Collectors;

/**
 * One seeded history: edges claim a few keys again and again at members that are killed, cut off, frozen, lose power
 * and disks, and each run of an operation is written down. Any member answers as if it were the coordinator, which is
 * more than the lease allows.
 */
final class OperationHistory {
    /** A fault that is built in on purpose. */
    enum Planted {
        NONE,
        ACKNOWLEDGED_BEFORE_SYNC,
        IN_MEMORY_ONLY,
        UNKNOWN_TREATED_AS_FREE,
        EXPIRES_TOO_EARLY,
        CLOCK_STEPS_AHEAD
    }

    static final int KEY_WINDOW_MS = 4_000;
    /** What an edge may take from its first request for a claim to the sending; the edge's part of the window. */
    static final int SEND_WITHIN_MS = 1_000;

    private static final int KEYS = 20;
    private static final int EDGES = 4;
    private static final long FIRST_TOKEN = 1L << 62;
    private static final int RESEND_MS = 150;
    private static final int ATTEMPT_EVERY_MS = 60;
    private static final int CLOCK_STEP_MS = 2_400;

    private final Planted planted;
    private final Random random;
    private final RandomFaults faults;
    private final SimulatedReplicas world;
    private final Map<ClaimId, Attempt> attempts = new HashMap<>();
    private final Map<OperationKey, Long> lastRunAt = new HashMap<>();
    private long sequence;
    private int runs;
    private int runsAfterWindow;
    private final List<String> runTwice = new ArrayList<>();

    OperationHistory(long seed, Planted planted) {
        this.planted = planted;
        random = new Random(~seed);
        faults = new RandomFaults(seed, false);
        world = faults.world();
        world.applications = CoreMember::new;
    }

    int runs() {
        return runs;
    }

    /** Runs of a key that had run before, after its window. */
    int runsAfterWindow() {
        return runsAfterWindow;
    }

    /** Runs within the window of another run of the same key. */
    List<String> runTwice() {
        return runTwice;
    }

    void play() {
        world.later(world.now + 500, this::attemptAgain);
        faults.play();
        if (!faults.harsh()) {
            long calmSince = world.now;
            world.await(
                    () -> lastRunAt.size() == KEYS
                            && lastRunAt.values().stream().allMatch(at -> at > calmSince),
                    4 * KEY_WINDOW_MS,
                    "each key runs again after all is calm");
        }
    }

    private void attemptAgain() {
        // in the same millisecond at several edges, at times
        for (int i = random.nextInt(3); i >= 0; i--) {
            OperationKey key = OperationKey.of("t", "k" + random.nextInt(KEYS));
            Attempt attempt = new Attempt("edge-" + random.nextInt(EDGES), new ClaimId(1, ++sequence), key);
            attempts.put(attempt.claim, attempt);
            attempt.requestAgain();
        }
        world.later(world.now + 1 + random.nextInt(2 * ATTEMPT_EVERY_MS), this::attemptAgain);
    }

    private void ran(Attempt attempt) {
        Long before = lastRunAt.put(attempt.key, world.now);
        runs++;
        if (before == null) {
            return;
        }
        if (world.now - before < KEY_WINDOW_MS) {
            runTwice.add(attempt.key + " at " + before + " and " + world.now);
        } else {
            runsAfterWindow++;
        }
    }

    private int delayMs() {
        return random.nextInt(20) == 0 ? random.nextInt(800) : 1 + random.nextInt(4);
    }

    /** What an edge does for one attempt of a client. */
    private final class Attempt {
        private final String edge;
        private final ClaimId claim;
        private final OperationKey key;
        private final long beganAt = world.now;
        private final boolean edgeDies = random.nextInt(10) == 0;
        private boolean decided;
        private boolean releasing;

        Attempt(String edge, ClaimId claim, OperationKey key) {
            this.edge = edge;
            this.claim = claim;
            this.key = key;
        }

        private void requestAgain() {
            if (decided) {
                return;
            }
            if (world.now - beganAt >= SEND_WITHIN_MS) {
                release();
                return;
            }
            toAnyMember(member -> member.claims.onClaim(edge, new ClaimRequest(claim, key)));
            world.later(world.now + RESEND_MS, this::requestAgain);
        }

        private void toAnyMember(java.util.function.Consumer<CoreMember> call) {
            SimulatedReplica node = faults.live.get(random.nextInt(faults.live.size()));
            if (random.nextInt(20) == 0) {
                return;
            }
            world.later(world.now + delayMs(), () -> {
                if (node.isRunning()) {
                    node.execute(() -> call.accept((CoreMember) node.application));
                }
            });
        }

        private void receive(Object frame) {
            if (frame instanceof ClaimReleased) {
                attempts.remove(claim);
                releasing = false;
            } else if (!decided && frame instanceof ClaimHeld) {
                decided = true;
            } else if (!decided && frame instanceof ClaimGranted && world.now - beganAt < SEND_WITHIN_MS) {
                decided = true;
                granted();
            }
        }

        private void granted() {
            if (random.nextInt(4) == 0) {
                release();
                return;
            }
            long latest = beganAt + SEND_WITHIN_MS - 1 - world.now;
            long delay = random.nextInt(3) == 0 ? latest : Math.min(latest, random.nextInt(10));
            world.later(world.now + delay, () -> {
                ran(this);
                if (planted == Planted.UNKNOWN_TREATED_AS_FREE && random.nextInt(4) == 0) {
                    release();
                }
            });
        }

        private void release() {
            decided = true;
            releasing = !edgeDies;
            releaseAgain();
        }

        private void releaseAgain() {
            if (releasing && world.now - beganAt < 10_000) {
                toAnyMember(member -> member.claims.onRelease(edge, new ClaimRelease(claim, key)));
                world.later(world.now + RESEND_MS, this::releaseAgain);
            }
        }
    }

    /** One process of a member: its part of the state, with a steady clock of its own. */
    private final class CoreMember implements SimulatedReplica.Application, OperationClaims.Access {
        private final SimulatedReplica node;
        private long clockOffsetMs = random.nextInt(1_000_000);
        private final OperationRegistry registry;
        private final OperationClaims claims;
        private final CoreStateMachine stateMachine;

        CoreMember(SimulatedReplica node, long origin) {
            this.node = node;
            registry = new OperationRegistry(origin, nowMs());
            int windowMs = KEY_WINDOW_MS + SEND_WITHIN_MS;
            claims = new OperationClaims(
                    registry, this, planted == Planted.EXPIRES_TOO_EARLY ? windowMs / 2 : windowMs, FIRST_TOKEN);
            stateMachine = new CoreStateMachine(new Texts(node), registry, this::nowMs, claims);
        }

        @Override
        public StateMachine stateMachine() {
            return stateMachine;
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
            if (planted == Planted.IN_MEMORY_ONLY) {
                node.execute(() -> {
                    claims.onOperationsApplied(registry.apply(OperationBatch.decode(change), nowMs()));
                    claims.onProposalCompleted(token, ProposalOutcome.COMMITTED);
                });
                return;
            }
            node.execute(() -> node.replica.propose(token, change, world.now));
            if (planted == Planted.ACKNOWLEDGED_BEFORE_SYNC) {
                for (OperationCommand command : OperationBatch.decode(change).commands()) {
                    if (command instanceof OperationCommand.Claim claim) {
                        send(claim.edge(), new ClaimGranted(claim.claim()));
                    }
                }
            }
        }

        @Override
        public void send(String edge, Object frame) {
            ClaimId claim = claimOf(frame);
            if (claim != null && random.nextInt(20) > 0) {
                world.later(world.now + delayMs(), () -> {
                    Attempt attempt = attempts.get(claim);
                    if (attempt != null) {
                        attempt.receive(frame);
                    }
                });
            }
        }

        private ClaimId claimOf(Object frame) {
            if (frame instanceof ClaimGranted granted) {
                return granted.claim();
            } else if (frame instanceof ClaimHeld held) {
                return held.claim();
            }
            return frame instanceof ClaimReleased released ? released.claim() : null;
        }

        @Override
        public long nowMs() {
            if (planted == Planted.CLOCK_STEPS_AHEAD && random.nextInt(200) == 0) {
                clockOffsetMs += CLOCK_STEP_MS;
            }
            return world.now + clockOffsetMs;
        }
    }

    /** In the place of the configuration: texts, which {@link RandomFaults} proposes and checks. */
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
            node.world.ruleChecker.delivered(node, index, text);
        }
    }
}
