package brambletray.platform.election;

import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.platform.replication.RandomFaults;
import brambletray.platform.replication.SimulatedReplica;
import org.junit.jupiter.api.Test;

/**
 * The role in the same weather as the views: terms only grow, and nobody acts under a term after another has acted
 * under a higher one.
 */
class ElectionRandomFaultsTest {

    /** Sees who acts under which term. */
    private static final class TermChecker implements ElectionNode.Observer {
        private final RandomFaults faults;
        private long highestWonTerm;
        private long highestUsedTerm;
        private SimulatedReplica lastActor;
        private long lastActedAtMs;
        private int termsWon;

        TermChecker(RandomFaults weather) {
            this.faults = weather;
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
                        .fail(node.address + " acts under " + term + " after " + lastActor.address + " under " + highestUsedTerm);
            }
            highestUsedTerm = term;
            lastActor = node;
            lastActedAtMs = faults.world().now;
        }
    }

    private TermChecker runSeed(long seed, boolean talks) {
        RandomFaults weather = new RandomFaults(seed, talks);
        TermChecker witness = new TermChecker(weather);
        weather.world().additionalComponents = node -> new ElectionNode(node, witness);
        weather.extraAction = node -> {
            ElectionNode ride = (ElectionNode) node.additionalComponent;
            ride.election.handOver(node.world.now);
            ride.election.setWantsLease(true);
        };
        try {
            weather.run();
            if (!weather.checksSafetyOnly()) {
                weather.world()
                        .runUntilTrue(
                                () -> weather.world().now - witness.lastActedAtMs < 100,
                                3000,
                                "somebody acts after all is calm");
            }
        } catch (AssertionError | RuntimeException e) {
            weather.world().events.forEach(System.out::println);
            throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
        }
        return witness;
    }

    @Test
    void termsIncreaseAndNoProcessActsUnderAnOutdatedTerm() {
        Long only = Long.getLong("election.seed");
        int seeds = Integer.getInteger("election.seeds", 300);
        long first = only != null ? only : Long.getLong("election.first", 1);
        int played = 0;
        long terms = 0;
        for (long seed = first; seed < first + seeds; seed++) {
            terms += runSeed(seed, only != null).termsWon;
            played++;
            if (only != null) {
                break;
            }
        }
        System.out.println("vow: " + played + " courses, " + terms + " terms");
        assertTrue(terms >= played, "hardly anybody won");
    }
}
