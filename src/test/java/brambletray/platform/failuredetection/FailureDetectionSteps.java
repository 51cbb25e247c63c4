package brambletray.platform.failuredetection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeSet;

/**
 * Steps of the failure detection timelines. A cell sets the state of a process: {@code |} running, {@code X} killed,
 * {@code !} power loss, {@code ~} isolated from all others, {@code z} paused, {@code L} leaving, {@code .} not running.
 * A {@code |} after {@code X}, {@code !} or {@code .} starts a new process.
 */
public class FailureDetectionSteps {
    private final SimulatedEdges cluster = new SimulatedEdges();

    @Given("edges {word} to {word}, grouped by zone")
    public void addEdges(String first, String last) {
        for (char zone = first.charAt(0); zone <= last.charAt(0); zone++) {
            for (char place = first.charAt(1); place <= last.charAt(1); place++) {
                cluster.add("" + zone + place);
            }
        }
    }

    @Given("no network path between {word} and {word}")
    public void cutLink(String one, String other) {
        cluster.cutLink(one, other);
    }

    @Given("no network path between {word} and its first watcher")
    public void cutLinkToFirstWatcher(String one) {
        List<Peer> all = new ArrayList<>();
        cluster.names().forEach(name -> all.add(new Peer(name, name.substring(0, 1), name + ":7400", 0, Peer.ACTIVE)));
        cluster.cutLink(
                one, new WatchRing(Roster.of(1, 1, all)).watchersOf(one).get(0).name());
    }

    @Given("no network path between zones {word} and {word}")
    public void cutLinksBetweenZones(String one, String other) {
        for (String a : cluster.names()) {
            for (String b : cluster.names()) {
                if (a.startsWith(one) && b.startsWith(other)) {
                    cluster.cutLink(a, b);
                }
            }
        }
    }

    /** Each row sets the states from its time on; the facts after the colon are checked just before that. */
    @When("the following timeline runs")
    public void runTimeline(String timeline) {
        List<String> rows = timeline.lines().filter(row -> !row.isBlank()).toList();
        List<String> names = List.of(rows.get(0).trim().split("\\s+"));
        List<String> all = new ArrayList<>();
        cluster.names().forEach(all::add);
        for (String row : rows.subList(1, rows.size())) {
            int colon = row.indexOf(':');
            String[] cells = (colon < 0 ? row : row.substring(0, colon)).trim().split("\\s+");
            int publishedBefore = cluster.coordinator().publishedRosters.size();
            cluster.runUntil(Long.parseLong(cells[0]));
            if (colon >= 0) {
                for (String fact : row.substring(colon + 1).split(";")) {
                    assertFact(fact.trim(), all, publishedBefore, row);
                }
            }
            for (int i = 1; i < cells.length; i++) {
                String name = names.get(i);
                for (String one : name.equals("rest") ? otherEdges(all, names) : List.of(name)) {
                    cluster.setState(one, cells[i].charAt(0));
                }
            }
        }
    }

    private static List<String> otherEdges(List<String> all, List<String> names) {
        return all.stream().filter(name -> !names.contains(name)).toList();
    }

    private void assertFact(String fact, List<String> all, int publishedBefore, String row) {
        String context = row + "\n" + String.join("\n", cluster.coordinator().publishedRosters);
        String[] words = fact.split(" ");
        List<String> named = Arrays.asList(words).subList(1, words.length);
        TreeSet<String> active = new TreeSet<>();
        TreeSet<String> leaving = new TreeSet<>();
        cluster.coordinator().roster().peers().forEach(peer -> (peer.isActive() ? active : leaving).add(peer.name()));
        switch (words[0]) {
            case "unchanged" ->
                assertEquals(
                        publishedBefore, cluster.coordinator().publishedRosters.size(), context);
            case "unpublished" -> assertEquals(0, cluster.coordinator().roster().number(), context);
            case "in" ->
                assertEquals(named.equals(List.of("all")) ? new TreeSet<>(all) : new TreeSet<>(named), active, context);
            case "out" -> {
                TreeSet<String> unlisted = new TreeSet<>(all);
                unlisted.removeAll(active);
                unlisted.removeAll(leaving);
                assertEquals(new TreeSet<>(named), unlisted, context);
            }
            case "leaving" -> assertEquals(new TreeSet<>(named), leaving, context);
            case "paused" -> assertEquals(1, cluster.edge(words[1]).pauses, context);
            case "no-reports" -> assertEquals(new TreeSet<>(), cluster.edge(words[1]).reportedSuspects, context);
            case "one-reporter" -> {
                TreeSet<String> reporters = new TreeSet<>(all);
                reporters.removeIf(name -> !cluster.edge(name).reportedSuspects.contains(words[1]));
                assertEquals(1, reporters.size(), context);
            }
            default -> throw new IllegalArgumentException("unknown fact: " + fact);
        }
    }

    @Then("all running edges have the same roster")
    public void allRunningEdgesHaveTheSameRoster() {
        for (String name : cluster.names()) {
            if (cluster.edge(name).isRunning()) {
                assertEquals(cluster.coordinator().roster(), cluster.edge(name).roster(), name);
            }
        }
    }

    @Then("at most {int} rosters were published")
    public void atMostRostersPublished(int maxCount) {
        List<String> published = cluster.coordinator().publishedRosters;
        assertTrue(published.size() <= maxCount, String.join("\n", published));
    }
}
