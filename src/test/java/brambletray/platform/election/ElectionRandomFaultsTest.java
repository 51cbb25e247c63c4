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
    private static final class Witness implements ElectionNode.Witness {
        private final RandomFaults weather;
        private long won;
        private long acted;
        private SimulatedReplica actor;
        private long actedAt;
        private int terms;

        Witness(RandomFaults weather) {
            this.weather = weather;
        }

        @Override
        public void won(SimulatedReplica node, long term) {
            if (term <= won) {
                weather.world().ruleChecker.fail(node.address + " won term " + term + " after " + won);
            }
            won = term;
            terms++;
        }

        @Override
        public void act(SimulatedReplica node, long term) {
            if (term < acted) {
                weather.world()
                        .ruleChecker
                        .fail(node.address + " acts under " + term + " after " + actor.address + " under " + acted);
            }
            acted = term;
            actor = node;
            actedAt = weather.world().now;
        }
    }

    private Witness play(long seed, boolean talks) {
        RandomFaults weather = new RandomFaults(seed, talks);
        Witness witness = new Witness(weather);
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
                                () -> weather.world().now - witness.actedAt < 100,
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
    void termsGrowAndNobodyActsUnderAnOldOne() {
        Long only = Long.getLong("election.seed");
        int seeds = Integer.getInteger("election.seeds", 300);
        long first = only != null ? only : Long.getLong("election.first", 1);
        int played = 0;
        long terms = 0;
        for (long seed = first; seed < first + seeds; seed++) {
            terms += play(seed, only != null).terms;
            played++;
            if (only != null) {
                break;
            }
        }
        System.out.println("vow: " + played + " courses, " + terms + " terms");
        assertTrue(terms >= played, "hardly anybody won");
    }
}
