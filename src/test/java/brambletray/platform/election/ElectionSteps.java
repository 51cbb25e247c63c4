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
 * Steps of the election timelines. In addition to the words of {@link Timeline}:
 * <pre>
 * H           may act                               h           may not act
 * check       checks whether it may act, and        act         acts under the recorded term
 *             records its term
 * accepted    its last action was accepted by the   fenced      its last action was rejected because a higher
 *             platform                                          term had been used
 * handover    hands over the lease                  higherterm  is told that a term above its own was seen
 * sees:b      takes b for the holder                sees:none   knows no holder
 * </pre>
 */
public final class ElectionSteps implements Timeline.AdditionalWords, ElectionNode.Observer {
    private ReplicationTestCluster cluster;
    private long highestWonTerm;
    private long fencingToken;
    private final Map<String, Long> checkedTerms = new HashMap<>();
    private final Map<String, Boolean> accepted = new HashMap<>();

    @Given("a stable core of {string} with a lease holder")
    public void startCluster(String members) {
        cluster = new ReplicationTestCluster(List.of(members.split("[ ,]+")));
        cluster.world.logsEvents = Boolean.getBoolean("replication.talks");
        cluster.world.additionalComponents = node -> new ElectionNode(node, this);
        cluster.found();
        cluster.world.runUntilTrue(
                () -> cluster.world.nodes.values().stream()
                        .anyMatch(node -> electionNode(node).election.mayAct(cluster.world.now)),
                2000,
                "a member holds the lease");
        cluster.world.runUntil(cluster.world.now + 300);
    }

    @When("the following timeline runs")
    public void runTimeline(String timeline) {
        try {
            new Timeline(cluster.world, this).run(timeline);
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
                checkedTerms.put(
                        node.address,
                        electionNode(node).election.mayAct(cluster.world.now) ? electionNode(node).term : -1);
            case "act" -> {
                long term = checkedTerms.get(node.address);
                accepted.put(node.address, term >= fencingToken);
                fencingToken = Math.max(fencingToken, term);
            }
            case "higherterm" -> electionNode(node).election.revalidate(electionNode(node).term + 1, cluster.world.now);
            case "handover" -> electionNode(node).election.handOver(cluster.world.now);
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
            case "accepted" -> accepted.get(node.address);
            case "fenced" -> !accepted.get(node.address);
            default -> null;
        };
    }

    @Override
    public void won(SimulatedReplica node, long term) {
        if (term <= highestWonTerm) {
            cluster.world.ruleChecker.fail(node.address + " won term " + term + " after " + highestWonTerm);
        }
        highestWonTerm = term;
    }

    @Override
    public void act(SimulatedReplica node, long term) {
        if (term < highestWonTerm) {
            cluster.world.ruleChecker.fail(
                    node.address + " may act under term " + term + " after " + highestWonTerm + " was won");
        }
    }
}
