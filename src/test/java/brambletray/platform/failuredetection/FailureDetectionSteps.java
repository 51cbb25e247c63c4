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
 * Reads the pictures. Signs: {@code |} runs, {@code X} is killed, {@code !} loses power, {@code ~} is cut off from all,
 * {@code z} sleeps, {@code L} is leaving, {@code .} is not there; a {@code |} after one of the last kinds is a start.
 */
public class FailureDetectionSteps {
    private final SimulatedEdges cluster = new SimulatedEdges();

    @Given("edges {word} to {word}, by zones")
    public void addEdges(String first, String last) {
        for (char zone = first.charAt(0); zone <= last.charAt(0); zone++) {
            for (char place = first.charAt(1); place <= last.charAt(1); place++) {
                cluster.add("" + zone + place);
            }
        }
    }

    @Given("no path between {word} and {word}")
    public void cutLink(String one, String other) {
        cluster.cutLink(one, other);
    }

    @Given("no path between {word} and its first watcher")
    public void cutLinkToFirstWatcher(String one) {
        List<Peer> all = new ArrayList<>();
        cluster.names().forEach(name -> all.add(new Peer(name, name.substring(0, 1), name + ":7400", 0, Peer.ACTIVE)));
        cluster.cutLink(
                one, new WatchRing(Roster.of(1, 1, all)).watchersOf(one).get(0).name());
    }

    @Given("no path between zones {word} and {word}")
    public void cutLinksBetweenZones(String one, String other) {
        for (String a : cluster.names()) {
            for (String b : cluster.names()) {
                if (a.startsWith(one) && b.startsWith(other)) {
                    cluster.cutLink(a, b);
                }
            }
        }
    }

    /** Each row holds from its ms on; what stands behind the colon is seen just before. */
    @When("time passes")
    public void runTimeline(String picture) {
        List<String> rows = picture.lines().filter(row -> !row.isBlank()).toList();
        List<String> names = List.of(rows.get(0).trim().split("\\s+"));
        List<String> all = new ArrayList<>();
        cluster.names().forEach(all::add);
        for (String row : rows.subList(1, rows.size())) {
            int colon = row.indexOf(':');
            String[] cells = (colon < 0 ? row : row.substring(0, colon)).trim().split("\\s+");
            int said = cluster.coordinator().publishedRosters.size();
            cluster.runUntil(Long.parseLong(cells[0]));
            if (colon >= 0) {
                for (String fact : row.substring(colon + 1).split(";")) {
                    assertFact(fact.trim(), all, said, row);
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

    private void assertFact(String fact, List<String> all, int said, String row) {
        String where = row + "\n" + String.join("\n", cluster.coordinator().publishedRosters);
        String[] words = fact.split(" ");
        List<String> named = Arrays.asList(words).subList(1, words.length);
        TreeSet<String> in = new TreeSet<>();
        TreeSet<String> leaving = new TreeSet<>();
        cluster.coordinator().roster().peers().forEach(peer -> (peer.isActive() ? in : leaving).add(peer.name()));
        switch (words[0]) {
            case "calm" -> assertEquals(said, cluster.coordinator().publishedRosters.size(), where);
            case "silent" -> assertEquals(0, cluster.coordinator().roster().number(), where);
            case "in" ->
                assertEquals(named.equals(List.of("all")) ? new TreeSet<>(all) : new TreeSet<>(named), in, where);
            case "out" -> {
                TreeSet<String> others = new TreeSet<>(all);
                others.removeAll(in);
                others.removeAll(leaving);
                assertEquals(new TreeSet<>(named), others, where);
            }
            case "leaving" -> assertEquals(new TreeSet<>(named), leaving, where);
            case "slept" -> assertEquals(1, cluster.edge(words[1]).pauses, where);
            case "quiet" -> assertEquals(new TreeSet<>(), cluster.edge(words[1]).reportedSuspects, where);
            case "accuser" -> {
                TreeSet<String> accusers = new TreeSet<>(all);
                accusers.removeIf(name -> !cluster.edge(name).reportedSuspects.contains(words[1]));
                assertEquals(1, accusers.size(), where);
            }
            default -> throw new IllegalArgumentException(fact);
        }
    }

    @Then("all that run have the same roster")
    public void allRunningEdgesHaveTheSameRoster() {
        for (String name : cluster.names()) {
            if (cluster.edge(name).isRunning()) {
                assertEquals(cluster.coordinator().roster(), cluster.edge(name).roster(), name);
            }
        }
    }

    @Then("no more than {int} rosters were said")
    public void atMostRostersPublished(int most) {
        List<String> said = cluster.coordinator().publishedRosters;
        assertTrue(said.size() <= most, String.join("\n", said));
    }
}
