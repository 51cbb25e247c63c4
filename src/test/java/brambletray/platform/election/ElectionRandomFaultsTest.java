package brambletray.platform.election;

import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.platform.replication.RandomFaults;
import brambletray.platform.replication.SimulatedReplica;
import org.junit.jupiter.api.Test;

/**
 * Runs the election under the same random faults as the view changes. Checks that terms only increase and that no
 * process acts under a term after another has acted under a higher one.
 */
class ElectionRandomFaultsTest {

    /** Records which process acts under which term. */
    private static final class TermChecker implements ElectionNode.Observer {
        private final RandomFaults faults;
        private long highestWonTerm;
        private long highestUsedTerm;
        private SimulatedReplica lastActor;
        private long lastActedAtMs;
        private int termsWon;

        TermChecker(RandomFaults faults) {
            this.faults = faults;
        }

        @Override
        public void won(SimulatedReplica node, long term) {
            if (term <= highestWonTerm) {
                faults.world().ruleChecker.fail(node.address + " won term " + term + " after " + highestWonTerm);
            }
            highestWonTerm = term;
            termsWon++;
        }

        @Override
        public void act(SimulatedReplica node, long term) {
            if (term < highestUsedTerm) {
                faults.world()
                        .ruleChecker
                        .fail(node.address + " acts under term " + term + " after " + lastActor.address + " under "
                                + highestUsedTerm);
            }
            highestUsedTerm = term;
            lastActor = node;
            lastActedAtMs = faults.world().now;
        }
    }

    private TermChecker runSeed(long seed, boolean logsEvents) {
        RandomFaults faults = new RandomFaults(seed, logsEvents);
        TermChecker checker = new TermChecker(faults);
        faults.world().additionalComponents = node -> new ElectionNode(node, checker);
        faults.extraAction = node -> {
            ElectionNode electionNode = (ElectionNode) node.additionalComponent;
            electionNode.election.handOver(node.world.now);
            electionNode.election.setWantsLease(true);
        };
        try {
            faults.run();
            if (!faults.checksSafetyOnly()) {
                faults.world()
                        .runUntilTrue(
                                () -> faults.world().now - checker.lastActedAtMs < 100,
                                3000,
                                "a holder acts after the faults have ended");
            }
        } catch (AssertionError | RuntimeException e) {
            faults.world().events.forEach(System.out::println);
            throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
        }
        return checker;
    }

    @Test
    void termsIncreaseAndNoProcessActsUnderAnOutdatedTerm() {
        Long replayedSeed = Long.getLong("election.seed");
        int seeds = Integer.getInteger("election.seeds", 300);
        long first = replayedSeed != null ? replayedSeed : Long.getLong("election.first", 1);
        int seedsRun = 0;
        long terms = 0;
        for (long seed = first; seed < first + seeds; seed++) {
            terms += runSeed(seed, replayedSeed != null).termsWon;
            seedsRun++;
            if (replayedSeed != null) {
                break;
            }
        }
        System.out.println("election: " + seedsRun + " seeds, " + terms + " terms");
        assertTrue(terms >= seedsRun, "fewer terms won than seeds run");
    }
}
