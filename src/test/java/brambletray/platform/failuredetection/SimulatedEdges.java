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
    static final String HUB = "hub";
    static final int INTERVAL = 200;
    private static final int TURN = 50;
    private static final int WAY = 3;
    /** ms of silence after which a connection gives up. */
    private static final int GIVES_UP = 2_500;

    private static final long BEGIN = 1_000_000;

    private record Link(String one, String other) {}

    private final TimelineColumn.Hub coordinator = new TimelineColumn.Hub(this);
    private final Map<String, TimelineColumn.Edge> edges = new LinkedHashMap<>();
    private final Map<Link, List<TimelineColumn.Mail>> held = new HashMap<>();
    private final Set<Set<String>> cuts = new HashSet<>();
    private final Map<String, Long> silentSince = new HashMap<>();
    private final Set<String> parted = new HashSet<>();
    private long now = BEGIN;
    private long lives = 100;
    private long term;

    void add(String edge) {
        edges.put(edge, new TimelineColumn.Edge(this, edge));
    }

    TimelineColumn.Hub coordinator() {
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

    void cutBetween(String one, String other) {
        cuts.add(Set.of(one, other));
    }

    /** The pictures's sign for one process, from now on. */
    void sign(String name, char sign) {
        TimelineColumn lane = name.equals(HUB) ? coordinator : edges.get(name);
        char before = lane.sign;
        if (before == sign) {
            return;
        }
        lane.sign = sign;
        switch (sign) {
            case '|' -> runs(lane, before);
            case 'X' -> killed(lane);
            case '!', '~', 'z' -> silentSince.put(name, now);
            case 'L' -> ((TimelineColumn.Edge) lane).leave();
            case '.' -> {}
            default -> throw new IllegalArgumentException("no sign: " + sign);
        }
    }

    private void runs(TimelineColumn lane, char before) {
        boolean anew = before == '.' || before == 'X' || before == '!';
        silentSince.remove(lane.name);
        if (lane instanceof TimelineColumn.Hub) {
            if (anew) {
                coordinator.start(++term, now);
                parted.addAll(edges.keySet());
                edges.values().forEach(this::call);
            }
        } else if (anew) {
            ((TimelineColumn.Edge) lane).start(++lives);
            call((TimelineColumn.Edge) lane);
        } else if (parted.contains(lane.name)) {
            call((TimelineColumn.Edge) lane);
        }
        if (before == '~') {
            release(lane.name);
        }
    }

    private void call(TimelineColumn.Edge edge) {
        if (edge.runs() && !edge.cut() && (coordinator.runs() || coordinator.sign == 'z')) {
            parted.remove(edge.name);
            edge.hello();
        }
    }

    private void killed(TimelineColumn lane) {
        lane.inbox.clear();
        held.keySet()
                .removeIf(link -> link.one().equals(lane.name) || link.other().equals(lane.name));
        if (lane instanceof TimelineColumn.Edge edge) {
            part(edge);
        }
    }

    private void part(TimelineColumn.Edge edge) {
        coordinator.inbox.add(new TimelineColumn.Mail(now, edge.name, new TimelineColumn.Parted(edge.life())));
    }

    private void release(String name) {
        for (Map.Entry<Link, List<TimelineColumn.Mail>> one : new ArrayList<>(held.entrySet())) {
            Link link = one.getKey();
            if (link.one().equals(name) || link.other().equals(name)) {
                List<TimelineColumn.Mail> mails = new ArrayList<>(one.getValue());
                one.getValue().clear();
                mails.forEach(mail -> send(link.one(), link.other(), mail.frame()));
            }
        }
    }

    private TimelineColumn lane(String name) {
        return name.equals(HUB) ? coordinator : edges.get(name);
    }

    void send(String from, String to, Object frame) {
        TimelineColumn other = lane(to);
        if (other == null
                || other.sign == '.'
                || other.sign == 'X'
                || other.sign == '!'
                || cuts.contains(Set.of(from, to))
                || to.equals(HUB) && parted.contains(from)
                || from.equals(HUB) && parted.contains(to)) {
            return;
        }
        if (lane(from).cut() || other.cut()) {
            held.computeIfAbsent(new Link(from, to), link -> new ArrayList<>())
                    .add(new TimelineColumn.Mail(0, from, frame));
        } else {
            other.inbox.add(new TimelineColumn.Mail(now + WAY, from, frame));
        }
    }

    void tellAll(Roster roster) {
        edges.keySet().forEach(edge -> send(HUB, edge, roster));
    }

    /** Runs until so many ms after the beginning. */
    void until(long ms) {
        for (; now < BEGIN + ms; now++) {
            giveUp();
            int place = 0;
            if (coordinator.runs() && now % TURN == 0) {
                coordinator.turn(now);
            }
            for (TimelineColumn.Edge edge : edges.values()) {
                place += 7;
                if (edge.runs() && (now + place) % TURN == 0) {
                    edge.turn(now);
                }
            }
        }
    }

    private void giveUp() {
        for (Map.Entry<String, Long> one : silentSince.entrySet()) {
            TimelineColumn lane = lane(one.getKey());
            if (now - one.getValue() == GIVES_UP && lane.sign != 'z' && lane instanceof TimelineColumn.Edge edge) {
                parted.add(edge.name);
                held.keySet()
                        .removeIf(link ->
                                link.one().equals(edge.name) || link.other().equals(edge.name));
                part(edge);
            }
        }
    }
}
