package brambletray.platform.admission;

import brambletray.platform.provisioning.HomeClaim;
import brambletray.platform.provisioning.InstanceDraining;
import brambletray.platform.provisioning.InstanceGone;
import brambletray.platform.provisioning.InstanceInfo;
import brambletray.platform.provisioning.InstanceList;
import brambletray.platform.provisioning.InstanceStarted;
import brambletray.platform.provisioning.InstanceUp;
import brambletray.platform.provisioning.StartRefusal;
import brambletray.platform.provisioning.StartRequest;
import brambletray.platform.provisioning.StopRequest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Plays a drawn timeline: time downwards in ms, one column a relay. Cells of edges are what they do ({@code ask 1},
 * {@code done 1 served 60}, {@code forget 1}, {@code held 1 h1, 2 h2}; X: it dies; ~ and z: nothing is heard of it),
 * those of {@code hub} what it says, those of {@code hosts} which answer knocks from then on. Cells of homes are what
 * must have been said there since the row before; X: it dies and the next home takes over.
 */
final class Timeline {
    private static final String SERVICE = "s";

    private record PendingProbe(long at, String instanceId) {}

    private final ServiceSpec spec;
    private final AdmissionParameters parameters;
    private final Map<String, ServiceQueues> homes = new HashMap<>();
    private final Map<String, List<String>> actual = new HashMap<>();
    private final List<String> edges = new ArrayList<>();
    private final Map<String, String> grants = new HashMap<>();
    private final Set<String> answering = new HashSet<>();
    private final List<String> startNonces = new ArrayList<>();
    private final String zone;
    private final List<PendingProbe> pendingProbes = new ArrayList<>();
    private String home;
    private List<String> names;
    private long now;

    Timeline(ServiceSpec spec, AdmissionParameters laws, String zone) {
        this.spec = spec;
        this.parameters = laws;
        this.zone = zone;
    }

    void play(String drawing) {
        for (String line : drawing.split("\n")) {
            if (line.isBlank()) {
                continue;
            }
            String[] cells = line.split("\\|", -1);
            for (int i = 0; i < cells.length; i++) {
                cells[i] = cells[i].trim();
            }
            if (names == null) {
                readHeader(cells);
            } else {
                playRow(cells, line);
            }
        }
    }

    private void readHeader(String[] cells) {
        names = List.of(cells);
        for (String name : names.subList(1, names.size())) {
            if (name.startsWith("home")) {
                homes.put(name, new ServiceQueues("east", name, parameters, new RecordingActions(name)));
                actual.put(name, new ArrayList<>());
                if (home == null) {
                    home = name;
                }
            } else if (!name.equals("hub") && !name.equals("hosts")) {
                edges.add(name);
            }
        }
        takeOver(List.of());
        actual.get(home).clear();
    }

    private void takeOver(List<String> others) {
        homes.get(home).onServiceSpec(spec, now);
        homes.get(home).takeOver(SERVICE, zone, others, now);
    }

    private void playRow(String[] cells, String line) {
        long until = Long.parseLong(cells[0]);
        runUntil(until);
        for (int i = 1; i < cells.length; i++) {
            String name = names.get(i);
            if (!cells[i].isEmpty() && (name.startsWith("home") ? cells[i].equals("X") : true)) {
                for (String word : cells[i].split(";")) {
                    act(name, word.trim().split("[ ,]+"));
                }
            }
        }
        runUntil(until);
        for (int i = 1; i < cells.length; i++) {
            if (names.get(i).startsWith("home") && !cells[i].equals("X")) {
                List<String> heard = actual.get(names.get(i));
                String seen = String.join("; ", heard);
                heard.clear();
                if (!seen.equals(cells[i])) {
                    throw new AssertionError(names.get(i) + " at " + until + " ms: drawn '" + cells[i] + "', seen '"
                            + seen + "' in\n" + line);
                }
            }
        }
    }

    private void runUntil(long until) {
        for (long due = nextDue(); due <= until; due = nextDue()) {
            now = Math.max(now, due);
            if (!pendingProbes.isEmpty() && pendingProbes.get(0).at <= now) {
                PendingProbe joinRequest = pendingProbes.remove(0);
                homes.get(home).onProbed(joinRequest.instanceId, answering.contains(joinRequest.instanceId), now);
            } else {
                homes.get(home).tick(now);
            }
        }
        now = until;
    }

    private long nextDue() {
        long due = homes.get(home).nextDueMs();
        return pendingProbes.isEmpty() ? due : Math.min(due, pendingProbes.get(0).at);
    }

    private void act(String name, String[] word) {
        ServiceQueues queues = homes.get(home);
        switch (name) {
            case "hub" -> coordinator(queues, word);
            case "hosts" -> {
                if (word[1].equals("answers")) {
                    answering.add(word[0]);
                } else {
                    answering.remove(word[0]);
                }
            }
            default -> {
                if (name.startsWith("home")) {
                    home = "home" + (Integer.parseInt(name.substring(4)) + 1);
                    takeOver(edges);
                    actual.get(home).clear();
                } else {
                    edge(queues, name, word);
                }
            }
        }
    }

    private void coordinator(ServiceQueues queues, String[] word) {
        switch (word[0]) {
            case "hosts" -> {
                List<InstanceInfo> hosts = new ArrayList<>();
                for (int i = 1; i + 1 < word.length; i += 2) {
                    hosts.add(instanceInfo(
                            word[i], word[i + 1].equals("up") ? InstanceInfo.UP : InstanceInfo.BOOTING, "n" + word[i]));
                }
                queues.onInstanceList(new InstanceList(SERVICE, "east", hosts), now);
            }
            case "born" -> {
                String nonce = startNonces.remove(0);
                queues.onInstanceStarted(new InstanceStarted(nonce, instanceInfo(word[1], InstanceInfo.BOOTING, nonce)), now);
            }
            case "noroom" -> queues.onStartRefused(new StartRefusal(startNonces.remove(0), Integer.parseInt(word[1])), now);
            case "leaving" -> queues.onInstanceDraining(new InstanceDraining(word[1], SERVICE), now);
            case "gone" -> queues.onInstanceGone(new InstanceGone(word[1], SERVICE), now);
            default -> throw new IllegalArgumentException(word[0]);
        }
    }

    private static InstanceInfo instanceInfo(String id, int state, String nonce) {
        return new InstanceInfo(
                id, SERVICE, "at-" + id, "east", "east", "w", nonce, state, state == InstanceInfo.UP ? 60_000 : 0);
    }

    private void edge(ServiceQueues queues, String edge, String[] word) {
        switch (word[0]) {
            case "ask" -> queues.onSlotRequest(slotRequest(edge, word), false, now);
            case "done" ->
                queues.onSlotRelease(
                        edge,
                        new SlotRelease(
                                Long.parseLong(word[1]),
                                grants.get(edge + word[1]),
                                AttemptOutcome.valueOf(word[2].toUpperCase(Locale.ROOT)),
                                Integer.parseInt(word[3])),
                        now);
            case "forget" -> queues.onCancel(edge, new SlotRequestCancel(Long.parseLong(word[1]), SERVICE), now);
            case "held" -> {
                List<SlotGrant> held = new ArrayList<>();
                for (int i = 1; i + 1 < word.length; i += 2) {
                    held.add(new SlotGrant(Long.parseLong(word[i]), word[i + 1], "at-" + word[i + 1], false));
                }
                queues.onHeldSlots(new HeldSlots(edge, SERVICE, held), now);
            }
            case "X" -> queues.onEdgeGone(edge, now);
            case "z", "~" -> {}
            default -> throw new IllegalArgumentException(word[0]);
        }
    }

    private static SlotRequest slotRequest(String edge, String[] word) {
        int left = 4000;
        int target = 1000;
        int priority = 1;
        String zone = "east";
        List<String> avoid = new ArrayList<>();
        Set<String> flags = new HashSet<>();
        for (int i = 2; i < word.length; i++) {
            switch (word[i]) {
                case "left" -> left = Integer.parseInt(word[++i]);
                case "target" -> target = Integer.parseInt(word[++i]);
                case "priority" -> priority = Integer.parseInt(word[++i]);
                case "zone" -> zone = word[++i];
                case "avoid" -> avoid.add(word[++i]);
                default -> flags.add(word[i]);
            }
        }
        return new SlotRequest(
                Long.parseLong(word[1]),
                edge,
                zone,
                SERVICE,
                SlotOwner.withoutTenant(priority),
                left,
                target,
                flags.contains("copy"),
                flags.contains("again"),
                flags.contains("inner"),
                avoid);
    }

    private final class RecordingActions implements AdmissionActions {
        final String name;

        RecordingActions(String name) {
            this.name = name;
        }

        private void record(String what) {
            actual.get(name).add(what);
        }

        @Override
        public void grant(String edge, SlotGrant grant) {
            grants.put(edge + grant.requestId(), grant.instanceId());
            record(edge + grant.requestId() + " " + grant.instanceId());
        }

        @Override
        public void refuse(String edge, SlotRefusal refuse) {
            record(edge + refuse.requestId() + " no " + refuse.retryAfterMs());
        }

        @Override
        public void redirect(String edge, SlotRedirect elsewhere) {
            record(edge + elsewhere.requestId() + " to " + elsewhere.zone());
        }

        @Override
        public void requestStart(StartRequest need) {
            if (!startNonces.contains(need.nonce())) {
                startNonces.add(need.nonce());
                record("need");
            }
        }

        @Override
        public void requestStop(StopRequest quit) {
            record("quit " + quit.id());
        }

        @Override
        public void reportUp(InstanceUp seen) {}

        @Override
        public void claimHome(HomeClaim claim) {
            record("claim");
        }

        @Override
        public void probe(String service, String hostId, String address) {
            pendingProbes.add(new PendingProbe(now + 1, hostId));
        }
    }
}
