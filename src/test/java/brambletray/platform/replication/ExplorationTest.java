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
    private static final int STATES = 10_000;
    private static final int WALKS = 20_000;

    private final Set<Fingerprint.Print> seen = new HashSet<>();
    private int states;
    private int ends;
    private int most;
    /** States, or walks, in which a process has left, and in which the newcomer was in an active view. */
    private int lefts;

    private int joins;
    private int bound;
    private int depth;

    private SteppedReplicas board(SteppedReplicas.EventBudget purse, List<Integer> moves) {
        SteppedReplicas board = new SteppedReplicas(purse);
        board.found();
        for (int move : moves) {
            board.execute(move);
        }
        return board;
    }

    private void explore(SteppedReplicas.EventBudget purse) {
        seen.clear();
        List<Integer> moves = new ArrayList<>();
        walk(purse, board(purse, moves), moves);
    }

    private void walk(SteppedReplicas.EventBudget purse, SteppedReplicas board, List<Integer> moves) {
        if (states >= bound || !seen.add(board.fingerprint())) {
            return;
        }
        states++;
        depth = Math.max(depth, moves.size());
        most = Math.max(most, board.acknowledged);
        if (board.leftCount > 0) {
            lefts++;
        }
        if (board.joined) {
            joins++;
        }
        SteppedReplicas here = board;
        boolean some = false;
        boolean[] may = new boolean[SteppedReplicas.MOVES];
        for (int move = 0; move < SteppedReplicas.MOVES; move++) {
            may[move] = board.isEnabled(move);
        }
        for (int move = 0; move < SteppedReplicas.MOVES; move++) {
            if (!may[move] || states >= bound) {
                continue;
            }
            some = true;
            if (here == null) {
                here = board(purse, moves);
            }
            moves.add(move);
            try {
                here.execute(move);
            } catch (AssertionError | RuntimeException e) {
                throw new AssertionError(e.getMessage() + " after " + purse + " " + moves, e);
            }
            walk(purse, here, moves);
            moves.remove(moves.size() - 1);
            here = null;
        }
        if (!some) {
            ends++;
        }
    }

    /** Random walks with a fuller purse reach further than the bound of states. */
    @Test
    void noWalkBreaksARule() {
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
                steps += stroll(board, random, newcomers > 0);
            } catch (AssertionError | RuntimeException e) {
                throw new AssertionError("walk " + seed + ": " + e.getMessage(), e);
            }
            most = Math.max(most, board.acknowledged);
            if (board.leftCount > 0) {
                lefts++;
            }
            if (board.joined) {
                joins++;
            }
            played++;
        }
        System.out.println("exploration: " + played + " walks, " + steps + " steps, at most " + most
                + " changes acknowledged, one left in " + lefts + ", the newcomer was let in in " + joins);
        assertTrue(most >= 2, "hardly anything was acknowledged");
        assertTrue(
                walks < WALKS || lefts > 100 && joins > 100, "hardly anybody left or came in: " + lefts + ", " + joins);
    }

    private static int stroll(SteppedReplicas board, Random random, boolean newcomer) {
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
    void noOrderOfFramesAndSyncsBreaksARule() {
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
        bound = Integer.getInteger("replication.states", STATES);
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
            ends = 0;
            depth = 0;
            lefts = 0;
            joins = 0;
            explore(purse);
            all += states;
            System.out.println("exploration " + purse + ": " + states + " states"
                    + (states >= bound ? " (bound)" : ", all") + ", " + ends + " ends, depth " + depth
                    + ", one left in "
                    + lefts + ", the newcomer in in " + joins);
        }
        assertTrue(all > 1000 && most >= 2, all + " states, at most " + most + " changes acknowledged");
    }
}
