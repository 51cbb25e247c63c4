package brambletray.platform.controlplane;

import brambletray.platform.operations.ClaimGranted;
import brambletray.platform.operations.ClaimHeld;
import brambletray.platform.operations.ClaimId;
import brambletray.platform.operations.ClaimRelease;
import brambletray.platform.operations.ClaimReleased;
import brambletray.platform.operations.ClaimRequest;
import brambletray.platform.operations.OperationBatch;
import brambletray.platform.operations.OperationCommand;
import brambletray.platform.operations.OperationIdentity;
import brambletray.platform.operations.OperationKey;
import brambletray.platform.replication.RandomFaults;
import brambletray.platform.replication.SimulatedReplica;
import brambletray.platform.replication.SimulatedReplicas;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

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
    private static final int RESEND_MS = 150;
    private static final int ATTEMPT_EVERY_MS = 60;
    private static final int CLOCK_STEP_MS = 2_400;

    private final Planted planted;
    private final Random random;
    private final RandomFaults faults;
    private final SimulatedReplicas world;
    private final Map<ClaimId, Attempt> attempts = new HashMap<>();
    private final Map<OperationKey, Long> lastRunAt = new HashMap<>();
    private boolean over;
    private long sequence;
    private int runs;
    private int runsAfterWindow;
    private final List<String> runTwice = new ArrayList<>();

    OperationHistory(long seed, Planted planted) {
        this.planted = planted;
        random = new Random(~seed);
        faults = new RandomFaults(seed, false);
        world = faults.world();
        int windowMs = KEY_WINDOW_MS + SEND_WITHIN_MS;
        long standsForMs = planted == Planted.EXPIRES_TOO_EARLY ? windowMs / 2 : windowMs;
        Core core = new Core();
        world.applications =
                (node, origin) -> new SimulatedCoreMember(node, origin, random.nextInt(1_000_000), standsForMs, core);
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
        world.schedule(world.now + 500, this::attemptAgain);
        faults.run();
        if (!faults.checksSafetyOnly()) {
            claimEachKeyAfterItsWindow();
        }
    }

    private void claimEachKeyAfterItsWindow() {
        over = true;
        world.runUntil(world.now + KEY_WINDOW_MS + 2 * SEND_WITHIN_MS);
        List<Attempt> last = new ArrayList<>();
        for (int i = 0; i < KEYS; i++) {
            Attempt attempt = new Attempt("edge-0", new ClaimId(1, ++sequence), OperationKey.of("t", "k" + i), false);
            attempts.put(attempt.claim, attempt);
            attempt.requestAgain();
            last.add(attempt);
        }
        world.runUntilTrue(
                () -> last.stream().allMatch(attempt -> attempt.granted), SEND_WITHIN_MS, "each key is granted");
    }

    private void attemptAgain() {
        if (over) {
            return;
        }
        // in the same millisecond at several edges, at times
        for (int i = random.nextInt(3); i >= 0; i--) {
            OperationKey key = OperationKey.of("t", "k" + random.nextInt(KEYS));
            Attempt attempt = new Attempt(
                    "edge-" + random.nextInt(EDGES), new ClaimId(1, ++sequence), key, random.nextInt(10) == 0);
            attempts.put(attempt.claim, attempt);
            attempt.requestAgain();
        }
        world.schedule(world.now + 1 + random.nextInt(2 * ATTEMPT_EVERY_MS), this::attemptAgain);
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
        private final boolean edgeDies;
        private boolean decided;
        private boolean granted;
        private boolean releasing;

        /** {@code edgeDies}: before it could release the claim. */
        Attempt(String edge, ClaimId claim, OperationKey key, boolean edgeDies) {
            this.edge = edge;
            this.claim = claim;
            this.key = key;
            this.edgeDies = edgeDies;
        }

        private void requestAgain() {
            if (decided) {
                return;
            }
            if (world.now - beganAt >= SEND_WITHIN_MS) {
                release();
                return;
            }
            toAnyMember(member ->
                    member.claims.onClaim(edge, new ClaimRequest(claim, OperationIdentity.withoutCredential(key))));
            world.schedule(world.now + RESEND_MS, this::requestAgain);
        }

        private void toAnyMember(java.util.function.Consumer<SimulatedCoreMember> call) {
            SimulatedReplica node = faults.live.get(random.nextInt(faults.live.size()));
            if (random.nextInt(20) == 0) {
                return;
            }
            world.schedule(world.now + delayMs(), () -> {
                if (node.isRunning()) {
                    node.execute(() -> call.accept((SimulatedCoreMember) node.application));
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
            } else if (decided && !granted && !releasing && frame instanceof ClaimGranted) {
                // a copy of the request came after the end of the claim that had held the key
                release();
            }
        }

        private void granted() {
            granted = true;
            if (random.nextInt(4) == 0) {
                release();
                return;
            }
            long latest = beganAt + SEND_WITHIN_MS - 1 - world.now;
            long delay = random.nextInt(3) == 0 ? latest : Math.min(latest, random.nextInt(10));
            world.schedule(world.now + delay, () -> {
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
                world.schedule(world.now + RESEND_MS, this::releaseAgain);
            }
        }
    }

    /** Where messages to edges go, and where a fault is built in. */
    private final class Core implements SimulatedCoreMember.Outside {
        @Override
        public void send(SimulatedCoreMember member, String edge, Object frame) {
            ClaimId claim = SimulatedCoreMember.claimOf(frame);
            if (claim != null && random.nextInt(20) > 0) {
                world.schedule(world.now + delayMs(), () -> {
                    Attempt attempt = attempts.get(claim);
                    if (attempt != null) {
                        attempt.receive(frame);
                    }
                });
            }
        }

        @Override
        public void propose(SimulatedCoreMember member, long token, byte[] change) {
            if (planted == Planted.IN_MEMORY_ONLY) {
                member.node.execute(() -> member.applyAlone(token, change));
                return;
            }
            SimulatedCoreMember.Outside.super.propose(member, token, change);
            if (planted == Planted.ACKNOWLEDGED_BEFORE_SYNC) {
                for (OperationCommand command : OperationBatch.decode(change).commands()) {
                    if (command instanceof OperationCommand.Claim claim) {
                        send(member, claim.edge(), new ClaimGranted(claim.claim()));
                    }
                }
            }
        }

        @Override
        public long clockStepMs() {
            return planted == Planted.CLOCK_STEPS_AHEAD && random.nextInt(200) == 0 ? CLOCK_STEP_MS : 0;
        }
    }
}
