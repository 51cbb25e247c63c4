package brambletray.platform.replication;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.List;
import java.util.Map;

/** Steps of the drawn timelines. */
public final class TimelineSteps {
    private ReplicationTestCluster core;
    private Timeline timeline;

    private static List<String> names(String list) {
        return List.of(list.split("[ ,]+"));
    }

    @Given("a core of {string} at rest")
    public void aCore(String list) {
        found(new ReplicationTestCluster(names(list)));
    }

    @Given("a core of {string} at rest, of which one zone may be lost")
    public void aCoreInZones(String list) {
        found(new ReplicationTestCluster(names(list), new FaultTolerance(1, 1, 0, Map.of())));
    }

    private void found(ReplicationTestCluster made) {
        core = made;
        core.world.logsEvents = Boolean.getBoolean("replication.talks");
        core.found();
        timeline = new Timeline(core.world, new Timeline.AdditionalWords() {
            @Override
            public boolean act(SimulatedReplica node, String word) {
                return false;
            }

            @Override
            public Boolean holds(SimulatedReplica node, String word) {
                return null;
            }
        });
    }

    @Given("a spare machine {string} that is told of {string}")
    public void aSpare(String name, String seeds) {
        core.addSpare(name, names(seeds));
    }

    @Given("{int} changes before")
    public void changes(int count) {
        SimulatedReplica leader = core.world.leader();
        for (int i = 0; i < count; i++) {
            core.world.ruleChecker.propose(leader);
            core.world.runUntil(core.world.now + 30);
        }
    }

    @Given("a state of {int} kB")
    public void state(int kb) {
        core.world.snapshotPadding = "b".repeat(kb << 10);
        changes(ReplicatedLog.MAX_ENTRIES_BEFORE_SNAPSHOT + 10);
    }

    @When("this happens")
    public void happens(String drawn) {
        try {
            timeline.run(drawn);
        } finally {
            core.world.events.forEach(System.out::println);
        }
    }

    @Then("all that are up agree and have all that was acknowledged")
    public void agree() {
        core.world.runUntil(core.world.now + 500);
        core.world.ruleChecker.checkFinalState(core.world.nodes.values().stream()
                .filter(SimulatedReplica::isRunning)
                .toList());
    }
}
