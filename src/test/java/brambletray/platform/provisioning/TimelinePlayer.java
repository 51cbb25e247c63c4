package brambletray.platform.provisioning;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Plays a drawn timeline. Columns: {@code hub}, {@code platform}, edges by name. Verbs are listed in the switches; a
 * check is made at the moment of its line.
 */
final class TimelinePlayer {
    private final SimulatedProvisioning scene;
    private String service = "tea";

    TimelinePlayer(SimulatedProvisioning scene) {
        this.scene = scene;
    }

    void play(String drawn) {
        Timeline timeline = Timeline.read(drawn);
        for (String name : timeline.names()) {
            if (!name.equals("hub") && !name.equals("platform")) {
                scene.edge(name);
            }
        }
        for (Timeline.Row row : timeline.rows()) {
            scene.wires.runTo(row.at());
            for (int i = 0; i < timeline.names().size(); i++) {
                for (String cell : row.cells().get(i)) {
                    if (!cell.isEmpty()) {
                        act(timeline.names().get(i), Arrays.asList(cell.split(" +")), row.drawn());
                    }
                }
            }
        }
    }

    private void act(String column, List<String> words, String line) {
        switch (column) {
            case "hub" -> coordinator(words, line);
            case "platform" -> platform(words, line);
            default -> edge(scene.edge(column), words, line);
        }
    }

    private void coordinator(List<String> words, String line) {
        switch (words.get(0)) {
            case "wins" -> scene.hubWins();
            case "X" -> scene.hubDies();
            case "drops" -> scene.drop(words.get(1));
            case "adds" -> scene.add(words.get(1));
            case "knows" ->
                assertEquals(Integer.parseInt(words.get(1)), scene.coordinator.provisioner.instanceCount(), line);
            default -> throw new IllegalArgumentException(line);
        }
    }

    private void platform(List<String> words, String line) {
        long now = scene.wires.now();
        switch (words.get(0)) {
            case "~mute" -> scene.cloud.mood = FlakyPlatform.Mood.MUTE;
            case "~away" -> scene.cloud.mood = FlakyPlatform.Mood.AWAY;
            case "back" -> scene.cloud.mood = FlakyPlatform.Mood.ANSWERS;
            case "drains" -> scene.cloud.stand.drain(words.get(1), now);
            case "crashes" -> scene.cloud.stand.crash(words.get(1), Long.parseLong(words.get(2)), now);
            case "fills" -> fill(words.get(1), words.get(2), now);
            case "begins" -> scene.cloud.stand.startInstance(service, words.get(1), words.get(2), 1, now);
            case "ebbs" -> scene.cloud.stand.drainHost(find(words.get(1)).id(), now);
            case "slows" ->
                scene.cloud.stand.service(
                        words.get(1),
                        new brambletray.platform.platformstub.ServiceKind(100, Integer.parseInt(words.get(2)), 0));
            case "ends" -> scene.cloud.stand.crashHost(find(words.get(1)).id(), now);
            case "forgets" -> scene.cloud.stand.service(words.get(1), null);
            case "runs" ->
                assertEquals(
                        Integer.parseInt(words.get(1)),
                        scene.cloud
                                .stand
                                .occupying(words.size() > 2 ? words.get(2) : service, now)
                                .size(),
                        line);
            case "started" -> assertEquals(Integer.parseInt(words.get(1)), scene.cloud.stand.starts(), line);
            case "called" ->
                assertTrue(scene.cloud.begins <= Integer.parseInt(words.get(2)), line + ": " + scene.cloud.begins);
            case "refused" ->
                assertTrue(
                        scene.cloud.stand.refusals() <= Integer.parseInt(words.get(2)),
                        line + ": " + scene.cloud.stand.refusals());
            default -> throw new IllegalArgumentException(line);
        }
    }

    /** Somebody else takes all that is free there but so many MB: which the lists show only later. */
    private void fill(String worker, String left, long now) {
        int free = scene.cloud.stand.workers(now).stream()
                .filter(one -> one.name().equals(worker))
                .findFirst()
                .orElseThrow()
                .freeMb();
        scene.cloud.stand.service(
                "other", new brambletray.platform.platformstub.ServiceKind(free - Integer.parseInt(left), 100_000, 0));
        assertEquals(
                CallResult.OK,
                scene.cloud
                        .stand
                        .startInstance("other", worker, "fills " + worker, 1, now)
                        .result());
    }

    private void edge(Edge edge, List<String> words, String line) {
        List<String> rest = words.subList(1, words.size());
        switch (words.get(0)) {
            case "needs" -> rest.forEach(nonce -> edge.need(new StartRequest(service, edge.name, nonce, 0)));
            case "urges" -> rest.forEach(nonce -> edge.need(new StartRequest(service, edge.name, nonce, 5)));
            case "many" -> {
                for (int i = 0; i < Integer.parseInt(words.get(2)); i++) {
                    edge.need(new StartRequest(service, edge.name, words.get(1) + i, 0));
                }
            }
            case "of" -> service = words.get(1);
            case "quits" -> edge.quit(find(words.get(1)));
            case "takes" -> scene.move(service, words.get(1), edge.name);
            case "lost" ->
                rest.forEach(nonce -> assertTrue(edge.gone.contains(find(nonce).id()), line));
            case "heir" -> scene.inherit(words.get(1), edge.name);
            case "X" -> scene.edgeDies(edge.name);
            case "has" -> assertEquals(new TreeSet<>(rest), nonces(edge), line);
            case "holds" -> assertEquals(Integer.parseInt(words.get(1)), edge.hosts.size(), line);
            case "got" -> rest.forEach(nonce -> assertNotNull(edge.host(nonce), line));
            case "deaf" -> edge.deaf = true;
            case "hears" -> edge.deaf = false;
            case "tells" -> edge.coordinator();
            case "empties" -> assertEquals(Integer.parseInt(words.get(1)), edge.empties, line);
            case "z" -> edge.asleep = true;
            case "." -> edge.wake();
            case "none" -> assertEquals(Set.of(), nonces(edge), line);
            case "waits" -> rest.forEach(nonce -> assertTrue(edge.needs.containsKey(nonce), line));
            case "refused" -> rest.forEach(nonce -> assertNotNull(edge.turnedDown.get(nonce), line));
            case "leaving" ->
                rest.forEach(
                        nonce -> assertTrue(edge.leaving.contains(find(nonce).id()), line));
            case "staying" ->
                rest.forEach(
                        nonce -> assertTrue(!edge.leaving.contains(find(nonce).id()), line));
            case "on" ->
                assertEquals(
                        words.get(2),
                        scene.cloud.stand.workerOf(find(words.get(1)).id(), scene.wires.now()),
                        line);
            case "same" ->
                assertEquals(
                        scene.cloud.stand.address(find(words.get(1)).id()),
                        scene.cloud.stand.address(find(words.get(2)).id()),
                        line);
            case "unheard" -> rest.forEach(nonce -> assertNull(edge.turnedDown.get(nonce), line));
            default -> throw new IllegalArgumentException(line);
        }
    }

    private static Set<String> nonces(Edge edge) {
        Set<String> nonces = new TreeSet<>();
        edge.hosts.values().forEach(host -> nonces.add(host.nonce().startsWith("i-") ? "(adopted)" : host.nonce()));
        return nonces;
    }

    private final java.util.Map<String, InstanceInfo> met = new java.util.HashMap<>();

    /** A host by its nonce, whoever has it or had it when it was last asked for. */
    private InstanceInfo find(String nonce) {
        for (Edge edge : scene.edges.values()) {
            if (edge.host(nonce) != null) {
                met.put(nonce, edge.host(nonce));
            }
        }
        assertNotNull(met.get(nonce), "nobody has " + nonce);
        return met.get(nonce);
    }
}
