package brambletray.platform.failuredetection;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Edges and a coordinator in simulated time, each running one turn every 50 ms. Messages take 3 ms. Messages of an
 * isolated process are delayed, and are lost once its connection times out.
 */
final class SimulatedEdges {
    static final String COORDINATOR = "coordinator";
    static final int HEARTBEAT_INTERVAL_MS = 200;
    private static final int TURN_MS = 50;
    private static final int LATENCY_MS = 3;
    /** ms of silence after which a connection is closed. */
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

    /** Sets the state of one process, as a sign of the timeline. */
    void setState(String name, char state) {
        TimelineColumn column = name.equals(COORDINATOR) ? coordinator : edges.get(name);
        char previous = column.state;
        if (previous == state) {
            return;
        }
        column.state = state;
        switch (state) {
            case '|' -> resume(column, previous);
            case 'X' -> kill(column);
            case '!', '~', 'z' -> silentSince.put(name, now);
            case 'L' -> ((TimelineColumn.Edge) column).leave();
            case '.' -> {}
            default -> throw new IllegalArgumentException("unknown state: " + state);
        }
    }

    private void resume(TimelineColumn column, char previous) {
        boolean restarted = previous == '.' || previous == 'X' || previous == '!';
        silentSince.remove(column.name);
        if (column instanceof TimelineColumn.Coordinator) {
            if (restarted) {
                coordinator.start(++term, now);
                disconnected.addAll(edges.keySet());
                edges.values().forEach(this::connect);
            }
        } else if (restarted) {
            ((TimelineColumn.Edge) column).start(++lastIncarnation);
            connect((TimelineColumn.Edge) column);
        } else if (disconnected.contains(column.name)) {
            connect((TimelineColumn.Edge) column);
        }
        if (previous == '~') {
            deliverDelayed(column.name);
        }
    }

    private void connect(TimelineColumn.Edge edge) {
        if (edge.isRunning() && !edge.isCut() && (coordinator.isRunning() || coordinator.state == 'z')) {
            disconnected.remove(edge.name);
            edge.sendHello();
        }
    }

    private void kill(TimelineColumn column) {
        column.inbox.clear();
        delayedMessages
                .keySet()
                .removeIf(link -> link.from().equals(column.name) || link.to().equals(column.name));
        if (column instanceof TimelineColumn.Edge edge) {
            closeLink(edge);
        }
    }

    private void closeLink(TimelineColumn.Edge edge) {
        coordinator.inbox.add(
                new TimelineColumn.Message(now, edge.name, new TimelineColumn.LinkClosed(edge.incarnation())));
    }

    private void deliverDelayed(String name) {
        for (Map.Entry<Link, List<TimelineColumn.Message>> entry : new ArrayList<>(delayedMessages.entrySet())) {
            Link link = entry.getKey();
            if (link.from().equals(name) || link.to().equals(name)) {
                List<TimelineColumn.Message> messages = new ArrayList<>(entry.getValue());
                entry.getValue().clear();
                messages.forEach(mail -> send(link.from(), link.to(), mail.frame()));
            }
        }
    }

    private TimelineColumn column(String name) {
        return name.equals(COORDINATOR) ? coordinator : edges.get(name);
    }

    void send(String from, String to, Object frame) {
        TimelineColumn target = column(to);
        if (target == null
                || target.state == '.'
                || target.state == 'X'
                || target.state == '!'
                || cuts.contains(Set.of(from, to))
                || to.equals(COORDINATOR) && disconnected.contains(from)
                || from.equals(COORDINATOR) && disconnected.contains(to)) {
            return;
        }
        if (column(from).isCut() || target.isCut()) {
            delayedMessages
                    .computeIfAbsent(new Link(from, to), link -> new ArrayList<>())
                    .add(new TimelineColumn.Message(0, from, frame));
        } else {
            target.inbox.add(new TimelineColumn.Message(now + LATENCY_MS, from, frame));
        }
    }

    void broadcast(Roster roster) {
        edges.keySet().forEach(edge -> send(COORDINATOR, edge, roster));
    }

    /** Runs until {@code ms} after the start. */
    void runUntil(long ms) {
        for (; now < START_MS + ms; now++) {
            closeTimedOutLinks();
            int turnOffsetMs = 0;
            if (coordinator.isRunning() && now % TURN_MS == 0) {
                coordinator.runTurn(now);
            }
            for (TimelineColumn.Edge edge : edges.values()) {
                turnOffsetMs += 7;
                if (edge.isRunning() && (now + turnOffsetMs) % TURN_MS == 0) {
                    edge.runTurn(now);
                }
            }
        }
    }

    private void closeTimedOutLinks() {
        for (Map.Entry<String, Long> entry : silentSince.entrySet()) {
            TimelineColumn column = column(entry.getKey());
            if (now - entry.getValue() == CONNECTION_TIMEOUT_MS
                    && column.state != 'z'
                    && column instanceof TimelineColumn.Edge edge) {
                disconnected.add(edge.name);
                delayedMessages
                        .keySet()
                        .removeIf(link ->
                                link.from().equals(edge.name) || link.to().equals(edge.name));
                closeLink(edge);
            }
        }
    }
}
