package brambletray.platform.election;

import brambletray.platform.replication.ReplicationTestCluster;
import brambletray.platform.replication.SimulatedReplica;
import brambletray.platform.replication.Timeline;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.When;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Steps of the drawn timelines of the role. Further words: H may act; h may not; check: asks whether it may act, and
 * remembers the term; act: acts under that term; done, fenced: what the platform said, which refuses terms below the
 * highest it has seen; yield: hands over; sees:b takes b for the holder; doubt: hears that somebody has seen a higher
 * term than its own.
 */
public final class ElectionSteps implements Timeline.AdditionalWords, ElectionNode.Observer {
    private ReplicationTestCluster cluster;
    private long highestWonTerm;
    private long fencingToken;
    private final Map<String, Long> checkedTerms = new HashMap<>();
    private final Map<String, Boolean> accepted = new HashMap<>();

    @Given("a core of {string} with a holder, at rest")
    public void startCluster(String list) {
        cluster = new ReplicationTestCluster(List.of(list.split("[ ,]+")));
        cluster.world.logsEvents = Boolean.getBoolean("replication.talks");
        cluster.world.additionalComponents = node -> new ElectionNode(node, this);
        cluster.found();
        cluster.world.runUntilTrue(
                () -> cluster.world.nodes.values().stream()
                        .anyMatch(node -> electionNode(node).election.mayAct(cluster.world.now)),
                2000,
                "a holder");
        cluster.world.runUntil(cluster.world.now + 300);
    }

    @When("this happens to the duty")
    public void runTimeline(String drawn) {
        try {
            new Timeline(cluster.world, this).run(drawn);
        } catch (AssertionError e) {
            cluster.world.events.forEach(System.out::println);
            throw e;
        }
    }

    private static ElectionNode electionNode(SimulatedReplica node) {
        return (ElectionNode) node.additionalComponent;
    }

    @Override
    public boolean act(SimulatedReplica node, String word) {
        switch (word) {
            case "check" ->
                checkedTerms.put(node.address, electionNode(node).election.mayAct(cluster.world.now) ? electionNode(node).term : -1);
            case "act" -> {
                long term = checkedTerms.get(node.address);
                accepted.put(node.address, term >= fencingToken);
                fencingToken = Math.max(fencingToken, term);
            }
            case "doubt" -> electionNode(node).election.revalidate(electionNode(node).term + 1, cluster.world.now);
            case "yield" -> electionNode(node).election.handOver(cluster.world.now);
            default -> {
                return false;
            }
        }
        return true;
    }

    @Override
    public Boolean holds(SimulatedReplica node, String word) {
        if (word.startsWith("sees:")) {
            LeaseHolder holder = electionNode(node).election.holder(cluster.world.now);
            return word.substring(5)
                    .equals(holder == null ? "none" : holder.member().address());
        }
        return switch (word) {
            case "H" -> node.isRunning() && electionNode(node).election.mayAct(cluster.world.now);
            case "h" -> !node.isRunning() || !electionNode(node).election.mayAct(cluster.world.now);
            case "done" -> accepted.get(node.address);
            case "fenced" -> !accepted.get(node.address);
            default -> null;
        };
    }

    @Override
    public void won(SimulatedReplica node, long term) {
        if (term <= highestWonTerm) {
            cluster.world.ruleChecker.fail(node.address + " won " + term + " after " + highestWonTerm);
        }
        highestWonTerm = term;
    }

    @Override
    public void act(SimulatedReplica node, long term) {
        if (term < highestWonTerm) {
            cluster.world.ruleChecker.fail(node.address + " may act under " + term + " after " + highestWonTerm + " was won");
        }
    }
}
