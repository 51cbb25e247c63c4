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
 * Runs a timeline table: a row per time in ms, a column per participant. Cells of edges are their messages ({@code
 * request 1}, {@code release 1 served 60}, {@code cancel 1}, {@code held 1 h1, 2 h2}; {@code gone}: it leaves the
 * membership; {@code silent}: nothing is received from it), those of {@code coordinator} its messages, those of {@code
 * instances} which of them answer probes from then on. Cells of homes are the actions expected there since the row
 * before, in full; {@code fails}: the home fails and the next one takes over.
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

    Timeline(ServiceSpec spec, AdmissionParameters parameters, String zone) {
        this.spec = spec;
        this.parameters = parameters;
        this.zone = zone;
    }

    void play(String timeline) {
        for (String line : timeline.split("\n")) {
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
            } else if (!name.equals("coordinator") && !name.equals("instances")) {
                edges.add(name);
            }
        }
        takeOver(List.of());
        actual.get(home).clear();
    }

    private void takeOver(List<String> previousEdges) {
        homes.get(home).onServiceSpec(spec, now);
        homes.get(home).takeOver(SERVICE, zone, previousEdges, now);
    }

    private void playRow(String[] cells, String line) {
        long until = Long.parseLong(cells[0]);
        runUntil(until);
        for (int i = 1; i < cells.length; i++) {
            String name = names.get(i);
            if (!cells[i].isEmpty() && (name.startsWith("home") ? cells[i].equals("fails") : true)) {
                for (String words : cells[i].split(";")) {
                    act(name, words.trim().split("[ ,]+"));
                }
            }
        }
        runUntil(until);
        for (int i = 1; i < cells.length; i++) {
            if (names.get(i).startsWith("home") && !cells[i].equals("fails")) {
                List<String> events = actual.get(names.get(i));
                String observed = String.join("; ", events);
                events.clear();
                if (!observed.equals(cells[i])) {
                    throw new AssertionError(names.get(i) + " at " + until + " ms: expected '" + cells[i]
                            + "', but was '" + observed + "' in\n" + line);
                }
            }
        }
    }

    private void runUntil(long until) {
        for (long due = nextDue(); due <= until; due = nextDue()) {
            now = Math.max(now, due);
            if (!pendingProbes.isEmpty() && pendingProbes.get(0).at <= now) {
                PendingProbe probe = pendingProbes.remove(0);
                homes.get(home).onProbed(probe.instanceId, answering.contains(probe.instanceId), now);
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

    private void act(String name, String[] words) {
        ServiceQueues queues = homes.get(home);
        switch (name) {
            case "coordinator" -> coordinator(queues, words);
            case "instances" -> {
                if (words[1].equals("answers")) {
                    answering.add(words[0]);
                } else {
                    answering.remove(words[0]);
                }
            }
            default -> {
                if (name.startsWith("home")) {
                    home = "home" + (Integer.parseInt(name.substring(4)) + 1);
                    takeOver(edges);
                    actual.get(home).clear();
                } else {
                    edge(queues, name, words);
                }
            }
        }
    }

    private void coordinator(ServiceQueues queues, String[] words) {
        switch (words[0]) {
            case "instances" -> {
                List<InstanceInfo> instances = new ArrayList<>();
                for (int i = 1; i + 1 < words.length; i += 2) {
                    instances.add(instanceInfo(
                            words[i],
                            words[i + 1].equals("up") ? InstanceInfo.UP : InstanceInfo.BOOTING,
                            "n" + words[i]));
                }
                queues.onInstanceList(new InstanceList(SERVICE, "east", instances), now);
            }
            case "started" -> {
                String nonce = startNonces.remove(0);
                queues.onInstanceStarted(
                        new InstanceStarted(nonce, instanceInfo(words[1], InstanceInfo.BOOTING, nonce)), now);
            }
            case "refused" ->
                queues.onStartRefused(new StartRefusal(startNonces.remove(0), Integer.parseInt(words[1])), now);
            case "draining" -> queues.onInstanceDraining(new InstanceDraining(words[1], SERVICE), now);
            case "gone" -> queues.onInstanceGone(new InstanceGone(words[1], SERVICE), now);
            default -> throw new IllegalArgumentException(words[0]);
        }
    }

    private static InstanceInfo instanceInfo(String id, int state, String nonce) {
        return new InstanceInfo(
                id, SERVICE, "at-" + id, "east", "east", "w", nonce, state, state == InstanceInfo.UP ? 60_000 : 0);
    }

    private void edge(ServiceQueues queues, String edge, String[] words) {
        switch (words[0]) {
            case "request" -> queues.onSlotRequest(slotRequest(edge, words), false, now);
            case "release" ->
                queues.onSlotRelease(
                        edge,
                        new SlotRelease(
                                Long.parseLong(words[1]),
                                grants.get(edge + words[1]),
                                AttemptOutcome.valueOf(words[2].toUpperCase(Locale.ROOT)),
                                Integer.parseInt(words[3])),
                        now);
            case "cancel" -> queues.onCancel(edge, new SlotRequestCancel(Long.parseLong(words[1]), SERVICE), now);
            case "held" -> {
                List<SlotGrant> held = new ArrayList<>();
                for (int i = 1; i + 1 < words.length; i += 2) {
                    held.add(new SlotGrant(Long.parseLong(words[i]), words[i + 1], "at-" + words[i + 1], false));
                }
                queues.onHeldSlots(new HeldSlots(edge, SERVICE, held), now);
            }
            case "gone" -> queues.onEdgeGone(edge, now);
            case "silent" -> {}
            default -> throw new IllegalArgumentException(words[0]);
        }
    }

    private static SlotRequest slotRequest(String edge, String[] words) {
        int remainingMs = 4000;
        int targetMs = 1000;
        int priority = 1;
        String zone = "east";
        List<String> excluded = new ArrayList<>();
        Set<String> flags = new HashSet<>();
        for (int i = 2; i < words.length; i++) {
            switch (words[i]) {
                case "remaining" -> remainingMs = Integer.parseInt(words[++i]);
                case "target" -> targetMs = Integer.parseInt(words[++i]);
                case "priority" -> priority = Integer.parseInt(words[++i]);
                case "zone" -> zone = words[++i];
                case "exclude" -> excluded.add(words[++i]);
                default -> flags.add(words[i]);
            }
        }
        return new SlotRequest(
                Long.parseLong(words[1]),
                edge,
                zone,
                SERVICE,
                SlotOwner.withoutTenant(priority),
                remainingMs,
                targetMs,
                flags.contains("hedge"),
                flags.contains("retry"),
                flags.contains("nested"),
                excluded);
    }

    private final class RecordingActions implements AdmissionActions {
        final String name;

        RecordingActions(String name) {
            this.name = name;
        }

        private void record(String event) {
            actual.get(name).add(event);
        }

        @Override
        public void grant(String edge, SlotGrant grant) {
            grants.put(edge + grant.requestId(), grant.instanceId());
            record(edge + grant.requestId() + " " + grant.instanceId());
        }

        @Override
        public void refuse(String edge, SlotRefusal refusal) {
            record(edge + refusal.requestId() + " rejected " + refusal.retryAfterMs());
        }

        @Override
        public void redirect(String edge, SlotRedirect redirect) {
            record(edge + redirect.requestId() + " redirect " + redirect.zone());
        }

        @Override
        public void requestStart(StartRequest request) {
            if (!startNonces.contains(request.nonce())) {
                startNonces.add(request.nonce());
                record("start");
            }
        }

        @Override
        public void requestStop(StopRequest request) {
            record("stop " + request.id());
        }

        @Override
        public void reportUp(InstanceUp instance) {}

        @Override
        public void claimHome(HomeClaim claim) {
            record("claim");
        }

        @Override
        public void probe(String service, String instanceId, String address) {
            pendingProbes.add(new PendingProbe(now + 1, instanceId));
        }
    }
}
