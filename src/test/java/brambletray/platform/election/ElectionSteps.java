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
public final class ElectionSteps implements Timeline.AdditionalWords, ElectionNode.Witness {
    private ReplicationTestCluster core;
    private long won;
    private long fence;
    private final Map<String, Long> checked = new HashMap<>();
    private final Map<String, Boolean> acted = new HashMap<>();

    @Given("a core of {string} with a holder, at rest")
    public void aCore(String list) {
        core = new ReplicationTestCluster(List.of(list.split("[ ,]+")));
        core.world.logsEvents = Boolean.getBoolean("replication.talks");
        core.world.additionalComponents = node -> new ElectionNode(node, this);
        core.found();
        core.world.runUntilTrue(
                () -> core.world.nodes.values().stream()
                        .anyMatch(node -> ride(node).election.mayAct(core.world.now)),
                2000,
                "a holder");
        core.world.runUntil(core.world.now + 300);
    }

    @When("this happens to the duty")
    public void happens(String drawn) {
        try {
            new Timeline(core.world, this).run(drawn);
        } catch (AssertionError e) {
            core.world.events.forEach(System.out::println);
            throw e;
        }
    }

    private static ElectionNode ride(SimulatedReplica node) {
        return (ElectionNode) node.additionalComponent;
    }

    @Override
    public boolean act(SimulatedReplica node, String word) {
        switch (word) {
            case "check" ->
                checked.put(node.address, ride(node).election.mayAct(core.world.now) ? ride(node).term : -1);
            case "act" -> {
                long term = checked.get(node.address);
                acted.put(node.address, term >= fence);
                fence = Math.max(fence, term);
            }
            case "doubt" -> ride(node).election.revalidate(ride(node).term + 1, core.world.now);
            case "yield" -> ride(node).election.handOver(core.world.now);
            default -> {
                return false;
            }
        }
        return true;
    }

    @Override
    public Boolean holds(SimulatedReplica node, String word) {
        if (word.startsWith("sees:")) {
            LeaseHolder holder = ride(node).election.holder(core.world.now);
            return word.substring(5)
                    .equals(holder == null ? "none" : holder.member().address());
        }
        return switch (word) {
            case "H" -> node.isRunning() && ride(node).election.mayAct(core.world.now);
            case "h" -> !node.isRunning() || !ride(node).election.mayAct(core.world.now);
            case "done" -> acted.get(node.address);
            case "fenced" -> !acted.get(node.address);
            default -> null;
        };
    }

    @Override
    public void won(SimulatedReplica node, long term) {
        if (term <= won) {
            core.world.ruleChecker.fail(node.address + " won " + term + " after " + won);
        }
        won = term;
    }

    @Override
    public void act(SimulatedReplica node, long term) {
        if (term < won) {
            core.world.ruleChecker.fail(node.address + " may act under " + term + " after " + won + " was won");
        }
    }
}
