package brambletray.platform.replication;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Explores all orders of messages and syncs during view changes, with a limited number of expired time-outs, losses of
 * power and of disks, planned leaves and newcomers, up to a maximum number of states. {@code -Dreplication.states=N}
 * and {@code -Dreplication.walks=N} explore further; {@code -Dreplication.moves=1,2,3} replays one sequence of moves
 * and logs each.
 */
class ExplorationTest {
    private static final int MAX_STATES = 10_000;
    private static final int WALKS = 20_000;

    private final Set<Fingerprint.Hash128> visited = new HashSet<>();
    private int states;
    private int terminalStates;
    private int maxAcknowledged;
    /** States, or walks, in which a process has left. */
    private int statesWithLeave;
    /** States, or walks, in which a newcomer was in an active view. */
    private int statesWithJoin;

    private int maxStates;
    private int maxDepth;

    private SteppedReplicas replay(SteppedReplicas.EventBudget budget, List<Integer> moves) {
        SteppedReplicas replicas = new SteppedReplicas(budget);
        replicas.found();
        for (int move : moves) {
            replicas.execute(move);
        }
        return replicas;
    }

    private void explore(SteppedReplicas.EventBudget budget) {
        visited.clear();
        List<Integer> moves = new ArrayList<>();
        visit(budget, replay(budget, moves), moves);
    }

    private void visit(SteppedReplicas.EventBudget budget, SteppedReplicas replicas, List<Integer> moves) {
        if (states >= maxStates || !visited.add(replicas.fingerprint())) {
            return;
        }
        states++;
        maxDepth = Math.max(maxDepth, moves.size());
        maxAcknowledged = Math.max(maxAcknowledged, replicas.acknowledged);
        if (replicas.leftCount > 0) {
            statesWithLeave++;
        }
        if (replicas.joined) {
            statesWithJoin++;
        }
        SteppedReplicas current = replicas;
        boolean hasSuccessor = false;
        boolean[] enabled = new boolean[SteppedReplicas.MOVES];
        for (int move = 0; move < SteppedReplicas.MOVES; move++) {
            enabled[move] = replicas.isEnabled(move);
        }
        for (int move = 0; move < SteppedReplicas.MOVES; move++) {
            if (!enabled[move] || states >= maxStates) {
                continue;
            }
            hasSuccessor = true;
            if (current == null) {
                current = replay(budget, moves);
            }
            moves.add(move);
            try {
                current.execute(move);
            } catch (AssertionError | RuntimeException e) {
                throw new AssertionError(e.getMessage() + " after " + budget + " " + moves, e);
            }
            visit(budget, current, moves);
            moves.remove(moves.size() - 1);
            current = null;
        }
        if (!hasSuccessor) {
            terminalStates++;
        }
    }

    /** Random walks with more faults reach deeper states than the bounded search. */
    @Test
    void randomWalksViolateNoRule() {
        int walks = Integer.getInteger("replication.walks", WALKS);
        long first = Long.getLong("replication.first", 1);
        int walksRun = 0;
        long steps = 0;
        for (long seed = first; seed < first + walks; seed++) {
            Random random = new Random(seed);
            int newcomers = random.nextInt(2);
            int impatience = 1 + random.nextInt(5);
            SteppedReplicas.EventBudget budget = new SteppedReplicas.EventBudget(
                    impatience, random.nextInt(3), random.nextInt(2), random.nextInt(2), newcomers);
            SteppedReplicas replicas = new SteppedReplicas(budget);
            replicas.found();
            try {
                steps += randomWalk(replicas, random, newcomers > 0);
            } catch (AssertionError | RuntimeException e) {
                throw new AssertionError("walk " + seed + ": " + e.getMessage(), e);
            }
            maxAcknowledged = Math.max(maxAcknowledged, replicas.acknowledged);
            if (replicas.leftCount > 0) {
                statesWithLeave++;
            }
            if (replicas.joined) {
                statesWithJoin++;
            }
            walksRun++;
        }
        System.out.println("exploration: " + walksRun + " walks, " + steps + " steps, at most " + maxAcknowledged
                + " changes acknowledged, a process left in " + statesWithLeave + ", the newcomer joined in "
                + statesWithJoin);
        assertTrue(maxAcknowledged >= 2, "acknowledged at most " + maxAcknowledged + " changes in one walk");
        assertTrue(
                walks < WALKS || statesWithLeave > 100 && statesWithJoin > 100,
                "walks with a leave: " + statesWithLeave + ", with a newcomer that joined: " + statesWithJoin);
    }

    private static int randomWalk(SteppedReplicas replicas, Random random, boolean newcomer) {
        int[] enabled = new int[SteppedReplicas.MOVES];
        // a walk may delay the messages of some links
        boolean[] delayed = new boolean[SteppedReplicas.MOVES];
        for (int i = 0; i < SteppedReplicas.SIZE * (SteppedReplicas.SIZE + 1); i++) {
            delayed[i] = random.nextInt(4) == 0;
        }
        // without these steps, a newcomer hardly ever gets the state before the leader that it asked is replaced
        int calmSteps = newcomer ? random.nextInt(80) : 0;
        if (newcomer) {
            replicas.execute(SteppedReplicas.MOVES - 1);
        }
        for (int step = 0; step < 400; step++) {
            int count = 0;
            for (int move = 0; move < SteppedReplicas.MOVES; move++) {
                if (replicas.isEnabled(move) && (!delayed[move] || step < calmSteps || random.nextInt(20) == 0)) {
                    enabled[count++] = move;
                }
            }
            if (count == 0) {
                if (random.nextInt(4) == 0) {
                    return step;
                }
                continue;
            }
            int move = enabled[random.nextInt(count)];
            // faults are rarer than messages
            boolean isFault = move >= SteppedReplicas.SIZE * (SteppedReplicas.SIZE + 1);
            if (isFault && (step < calmSteps || random.nextInt(6) > 0)) {
                continue;
            }
            replicas.execute(move);
        }
        return 400;
    }

    @Test
    void noOrderOfMessagesAndSyncsViolatesARule() {
        String singleRun = System.getProperty("replication.moves");
        int power = Integer.getInteger("replication.power", 1);
        int disks = Integer.getInteger("replication.disks", 1);
        int impatience = Integer.getInteger("replication.impatience", 2);
        if (singleRun != null) {
            SteppedReplicas replicas = new SteppedReplicas(new SteppedReplicas.EventBudget(
                    impatience,
                    power,
                    disks,
                    Integer.getInteger("replication.leaves", 0),
                    Integer.getInteger("replication.newcomers", 0)));
            replicas.found();
            replicas.verbose = true;
            for (String move : singleRun.split("[, ]+")) {
                replicas.execute(Integer.parseInt(move));
            }
            return;
        }
        maxStates = Integer.getInteger("replication.states", MAX_STATES);
        List<SteppedReplicas.EventBudget> budgets = new ArrayList<>();
        for (int i = 1; i <= impatience; i++) {
            for (int p = 0; p <= power; p++) {
                for (int d = 0; d <= disks; d++) {
                    budgets.add(new SteppedReplicas.EventBudget(i, p, d));
                }
            }
        }
        // with a planned leave, without and with a newcomer
        for (int i = 1; i <= impatience; i++) {
            for (int n = 0; n <= 1; n++) {
                budgets.add(new SteppedReplicas.EventBudget(i, 0, n * disks, 1, n));
            }
        }
        int totalStates = 0;
        for (SteppedReplicas.EventBudget budget : budgets) {
            states = 0;
            terminalStates = 0;
            maxDepth = 0;
            statesWithLeave = 0;
            statesWithJoin = 0;
            explore(budget);
            totalStates += states;
            System.out.println("exploration " + budget + ": " + states + " states"
                    + (states >= maxStates ? " (limit)" : ", all") + ", " + terminalStates + " terminal, depth "
                    + maxDepth
                    + ", a process left in "
                    + statesWithLeave + ", the newcomer joined in " + statesWithJoin);
        }
        assertTrue(
                totalStates > 1000 && maxAcknowledged >= 2,
                totalStates + " states explored, at most " + maxAcknowledged + " changes acknowledged in one");
    }
}
