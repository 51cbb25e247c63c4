package brambletray.platform.failuredetection;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Edges and a coordinator in simulated time, each a turn every 50 ms. What is said takes 3 ms; behind a cut it waits,
 * or is lost once the link gives up.
 */
final class SimulatedEdges {
    static final String COORDINATOR = "hub";
    static final int HEARTBEAT_INTERVAL_MS = 200;
    private static final int TURN_MS = 50;
    private static final int LATENCY_MS = 3;
    /** ms of silence after which a connection gives up. */
    private static final int CONNECTION_TIMEOUT_MS = 2_500;

    private static final long START_MS = 1_000_000;

    private record Link(String from, String to) {}

    private final TimelineColumn.Coordinator coordinator = new TimelineColumn.Coordinator(this);
    private final Map<String, TimelineColumn.Edge> edges = new LinkedHashMap<>();
    private final Map<Link, List<TimelineColumn.Message>> delayedMessages = new HashMap<>();
    private final Set<Set<String>> cuts = new HashSet<>();
    private final Map<String, Long> silentSince = new HashMap<>();
    private final Set<String> disconnected = new HashSet<>();
    private long now = START_MS;
    private long lastIncarnation = 100;
    private long term;

    void add(String edge) {
        edges.put(edge, new TimelineColumn.Edge(this, edge));
    }

    TimelineColumn.Coordinator coordinator() {
        return coordinator;
    }

    TimelineColumn.Edge edge(String name) {
        return edges.get(name);
    }

    Iterable<String> names() {
        return edges.keySet();
    }

    long now() {
        return now;
    }

    void cutLink(String one, String other) {
        cuts.add(Set.of(one, other));
    }

    /** The pictures's sign for one process, from now on. */
    void setState(String name, char sign) {
        TimelineColumn lane = name.equals(COORDINATOR) ? coordinator : edges.get(name);
        char before = lane.state;
        if (before == sign) {
            return;
        }
        lane.state = sign;
        switch (sign) {
            case '|' -> resume(lane, before);
            case 'X' -> kill(lane);
            case '!', '~', 'z' -> silentSince.put(name, now);
            case 'L' -> ((TimelineColumn.Edge) lane).leave();
            case '.' -> {}
            default -> throw new IllegalArgumentException("no sign: " + sign);
        }
    }

    private void resume(TimelineColumn lane, char before) {
        boolean anew = before == '.' || before == 'X' || before == '!';
        silentSince.remove(lane.name);
        if (lane instanceof TimelineColumn.Coordinator) {
            if (anew) {
                coordinator.start(++term, now);
                disconnected.addAll(edges.keySet());
                edges.values().forEach(this::connect);
            }
        } else if (anew) {
            ((TimelineColumn.Edge) lane).start(++lastIncarnation);
            connect((TimelineColumn.Edge) lane);
        } else if (disconnected.contains(lane.name)) {
            connect((TimelineColumn.Edge) lane);
        }
        if (before == '~') {
            deliverDelayed(lane.name);
        }
    }

    private void connect(TimelineColumn.Edge edge) {
        if (edge.isRunning() && !edge.isCut() && (coordinator.isRunning() || coordinator.state == 'z')) {
            disconnected.remove(edge.name);
            edge.sendHello();
        }
    }

    private void kill(TimelineColumn lane) {
        lane.inbox.clear();
        delayedMessages.keySet()
                .removeIf(link -> link.from().equals(lane.name) || link.to().equals(lane.name));
        if (lane instanceof TimelineColumn.Edge edge) {
            closeLink(edge);
        }
    }

    private void closeLink(TimelineColumn.Edge edge) {
        coordinator.inbox.add(new TimelineColumn.Message(now, edge.name, new TimelineColumn.LinkClosed(edge.incarnation())));
    }

    private void deliverDelayed(String name) {
        for (Map.Entry<Link, List<TimelineColumn.Message>> one : new ArrayList<>(delayedMessages.entrySet())) {
            Link link = one.getKey();
            if (link.from().equals(name) || link.to().equals(name)) {
                List<TimelineColumn.Message> mails = new ArrayList<>(one.getValue());
                one.getValue().clear();
                mails.forEach(mail -> send(link.from(), link.to(), mail.frame()));
            }
        }
    }

    private TimelineColumn column(String name) {
        return name.equals(COORDINATOR) ? coordinator : edges.get(name);
    }

    void send(String from, String to, Object frame) {
        TimelineColumn other = column(to);
        if (other == null
                || other.state == '.'
                || other.state == 'X'
                || other.state == '!'
                || cuts.contains(Set.of(from, to))
                || to.equals(COORDINATOR) && disconnected.contains(from)
                || from.equals(COORDINATOR) && disconnected.contains(to)) {
            return;
        }
        if (column(from).isCut() || other.isCut()) {
            delayedMessages.computeIfAbsent(new Link(from, to), link -> new ArrayList<>())
                    .add(new TimelineColumn.Message(0, from, frame));
        } else {
            other.inbox.add(new TimelineColumn.Message(now + LATENCY_MS, from, frame));
        }
    }

    void broadcast(Roster roster) {
        edges.keySet().forEach(edge -> send(COORDINATOR, edge, roster));
    }

    /** Runs until so many ms after the beginning. */
    void runUntil(long ms) {
        for (; now < START_MS + ms; now++) {
            closeTimedOutLinks();
            int place = 0;
            if (coordinator.isRunning() && now % TURN_MS == 0) {
                coordinator.runTurn(now);
            }
            for (TimelineColumn.Edge edge : edges.values()) {
                place += 7;
                if (edge.isRunning() && (now + place) % TURN_MS == 0) {
                    edge.runTurn(now);
                }
            }
        }
    }

    private void closeTimedOutLinks() {
        for (Map.Entry<String, Long> one : silentSince.entrySet()) {
            TimelineColumn lane = column(one.getKey());
            if (now - one.getValue() == CONNECTION_TIMEOUT_MS && lane.state != 'z' && lane instanceof TimelineColumn.Edge edge) {
                disconnected.add(edge.name);
                delayedMessages.keySet()
                        .removeIf(link ->
                                link.from().equals(edge.name) || link.to().equals(edge.name));
                closeLink(edge);
            }
        }
    }
}
