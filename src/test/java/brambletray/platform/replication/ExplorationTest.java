package brambletray.platform.replication;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Every order in which the frames and syncs of view changes can come about, with a purse of impatience, losses of
 * power and of disks, planned ends and newcomers, up to a bound of states. {@code -Dview.states=N},
 * {@code -Dview.walks=N} go further; {@code -Dview.moves=1,2,3} plays one scenario and tells.
 */
class ExplorationTest {
    private static final int MAX_STATES = 10_000;
    private static final int WALKS = 20_000;

    private final Set<Fingerprint.Hash128> visited = new HashSet<>();
    private int states;
    private int terminalStates;
    private int maxAcknowledged;
    /** States, or walks, in which a process has left, and in which the newcomer was in an active view. */
    private int statesWithLeave;

    private int statesWithJoin;
    private int maxStates;
    private int maxDepth;

    private SteppedReplicas replay(SteppedReplicas.EventBudget purse, List<Integer> moves) {
        SteppedReplicas board = new SteppedReplicas(purse);
        board.found();
        for (int move : moves) {
            board.execute(move);
        }
        return board;
    }

    private void explore(SteppedReplicas.EventBudget purse) {
        visited.clear();
        List<Integer> moves = new ArrayList<>();
        visit(purse, replay(purse, moves), moves);
    }

    private void visit(SteppedReplicas.EventBudget purse, SteppedReplicas board, List<Integer> moves) {
        if (states >= maxStates || !visited.add(board.fingerprint())) {
            return;
        }
        states++;
        maxDepth = Math.max(maxDepth, moves.size());
        maxAcknowledged = Math.max(maxAcknowledged, board.acknowledged);
        if (board.leftCount > 0) {
            statesWithLeave++;
        }
        if (board.joined) {
            statesWithJoin++;
        }
        SteppedReplicas here = board;
        boolean some = false;
        boolean[] may = new boolean[SteppedReplicas.MOVES];
        for (int move = 0; move < SteppedReplicas.MOVES; move++) {
            may[move] = board.isEnabled(move);
        }
        for (int move = 0; move < SteppedReplicas.MOVES; move++) {
            if (!may[move] || states >= maxStates) {
                continue;
            }
            some = true;
            if (here == null) {
                here = replay(purse, moves);
            }
            moves.add(move);
            try {
                here.execute(move);
            } catch (AssertionError | RuntimeException e) {
                throw new AssertionError(e.getMessage() + " after " + purse + " " + moves, e);
            }
            visit(purse, here, moves);
            moves.remove(moves.size() - 1);
            here = null;
        }
        if (!some) {
            terminalStates++;
        }
    }

    /** Random walks with a fuller purse reach further than the bound of states. */
    @Test
    void randomWalksViolateNoRule() {
        int walks = Integer.getInteger("replication.walks", WALKS);
        long first = Long.getLong("replication.first", 1);
        int played = 0;
        long steps = 0;
        for (long seed = first; seed < first + walks; seed++) {
            Random random = new Random(seed);
            int newcomers = random.nextInt(2);
            int impatience = 1 + random.nextInt(5);
            SteppedReplicas.EventBudget purse = new SteppedReplicas.EventBudget(
                    impatience, random.nextInt(3), random.nextInt(2), random.nextInt(2), newcomers);
            SteppedReplicas board = new SteppedReplicas(purse);
            board.found();
            try {
                steps += randomWalk(board, random, newcomers > 0);
            } catch (AssertionError | RuntimeException e) {
                throw new AssertionError("walk " + seed + ": " + e.getMessage(), e);
            }
            maxAcknowledged = Math.max(maxAcknowledged, board.acknowledged);
            if (board.leftCount > 0) {
                statesWithLeave++;
            }
            if (board.joined) {
                statesWithJoin++;
            }
            played++;
        }
        System.out.println("exploration: " + played + " walks, " + steps + " steps, at most " + maxAcknowledged
                + " changes acknowledged, one left in " + statesWithLeave + ", the newcomer was let in in " + statesWithJoin);
        assertTrue(maxAcknowledged >= 2, "hardly anything was acknowledged");
        assertTrue(
                walks < WALKS || statesWithLeave > 100 && statesWithJoin > 100, "hardly anybody left or came in: " + statesWithLeave + ", " + statesWithJoin);
    }

    private static int randomWalk(SteppedReplicas board, Random random, boolean newcomer) {
        int[] may = new int[SteppedReplicas.MOVES];
        // a walk may favour some links: the others' frames come late
        boolean[] slow = new boolean[SteppedReplicas.MOVES];
        for (int i = 0; i < SteppedReplicas.SIZE * (SteppedReplicas.SIZE + 1); i++) {
            slow[i] = random.nextInt(4) == 0;
        }
        // else a newcomer hardly ever has the state while the leader that it knocked at still leads
        int calm = newcomer ? random.nextInt(80) : 0;
        if (newcomer) {
            board.execute(SteppedReplicas.MOVES - 1);
        }
        for (int step = 0; step < 400; step++) {
            int count = 0;
            for (int move = 0; move < SteppedReplicas.MOVES; move++) {
                if (board.isEnabled(move) && (!slow[move] || step < calm || random.nextInt(20) == 0)) {
                    may[count++] = move;
                }
            }
            if (count == 0) {
                if (random.nextInt(4) == 0) {
                    return step;
                }
                continue;
            }
            int move = may[random.nextInt(count)];
            // mishaps are rarer than frames
            boolean mishap = move >= SteppedReplicas.SIZE * (SteppedReplicas.SIZE + 1);
            if (mishap && (step < calm || random.nextInt(6) > 0)) {
                continue;
            }
            board.execute(move);
        }
        return 400;
    }

    @Test
    void noOrderOfMessagesAndSyncsViolatesARule() {
        String one = System.getProperty("replication.moves");
        int power = Integer.getInteger("replication.power", 1);
        int disks = Integer.getInteger("replication.disks", 1);
        int impatience = Integer.getInteger("replication.impatience", 2);
        if (one != null) {
            SteppedReplicas board = new SteppedReplicas(new SteppedReplicas.EventBudget(
                    impatience,
                    power,
                    disks,
                    Integer.getInteger("replication.leaves", 0),
                    Integer.getInteger("replication.newcomers", 0)));
            board.found();
            board.verbose = true;
            for (String move : one.split("[, ]+")) {
                board.execute(Integer.parseInt(move));
            }
            return;
        }
        maxStates = Integer.getInteger("replication.states", MAX_STATES);
        List<SteppedReplicas.EventBudget> purses = new ArrayList<>();
        for (int i = 1; i <= impatience; i++) {
            for (int p = 0; p <= power; p++) {
                for (int d = 0; d <= disks; d++) {
                    purses.add(new SteppedReplicas.EventBudget(i, p, d));
                }
            }
        }
        // with a planned end, and a newcomer at the same time
        for (int i = 1; i <= impatience; i++) {
            for (int n = 0; n <= 1; n++) {
                purses.add(new SteppedReplicas.EventBudget(i, 0, n * disks, 1, n));
            }
        }
        int all = 0;
        for (SteppedReplicas.EventBudget purse : purses) {
            states = 0;
            terminalStates = 0;
            maxDepth = 0;
            statesWithLeave = 0;
            statesWithJoin = 0;
            explore(purse);
            all += states;
            System.out.println("exploration " + purse + ": " + states + " states"
                    + (states >= maxStates ? " (bound)" : ", all") + ", " + terminalStates + " ends, depth " + maxDepth
                    + ", one left in "
                    + statesWithLeave + ", the newcomer in in " + statesWithJoin);
        }
        assertTrue(all > 1000 && maxAcknowledged >= 2, all + " states, at most " + maxAcknowledged + " changes acknowledged");
    }
}
