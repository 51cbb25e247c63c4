package brambletray.platform.failuredetection;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.TreeSet;

/**
 * One process of a drawn timeline: an edge, with its watch, or what the coordinator's machine runs. Its inbox stands
 * for its sockets.
 */
abstract class TimelineColumn {
    /** A frame on its way; {@code at}: when it arrives. */
    record Message(long arrivesAtMs, String from, Object frame) {}

    /** The link of this incarnation of an edge to the coordinator is closed. */
    record LinkClosed(long incarnation) {}

    final String name;
    final Deque<Message> inbox = new ArrayDeque<>();
    /** What the picture shows now. */
    char state = '.';

    TimelineColumn(String name) {
        this.name = name;
    }

    boolean isRunning() {
        return state == '|' || state == '~' || state == 'L';
    }

    boolean isCut() {
        return state == '~';
    }

    abstract void receive(String from, Object frame, long now);

    abstract void tick(long now);

    /** One turn of its loop; timers come before what lies in the sockets, which is the harder order. */
    void runTurn(long now) {
        tick(now);
        while (!inbox.isEmpty() && inbox.peek().arrivesAtMs() <= now) {
            Message mail = inbox.poll();
            receive(mail.from(), mail.frame(), now);
        }
    }

    /** An edge. */
    static final class Edge extends TimelineColumn implements HeartbeatMonitor.Actions {
        private final SimulatedEdges cluster;
        private final String zone;
        private Peer self;
        private HeartbeatMonitor monitor;
        private Roster roster = Roster.NONE;
        /** Whose suspicion it has told since it began. */
        final TreeSet<String> reportedSuspects = new TreeSet<>();

        int pauses;

        Edge(SimulatedEdges cluster, String name) {
            super(name);
            this.cluster = cluster;
            this.zone = name.substring(0, 1);
        }

        void start(long life) {
            inbox.clear();
            self = new Peer(name, zone, name + ":7400", life, Peer.ACTIVE);
            monitor = new HeartbeatMonitor(self, SimulatedEdges.HEARTBEAT_INTERVAL_MS, this);
            roster = Roster.NONE;
        }

        /** The link to the coordinator is up, or its own state is another. */
        void sendHello() {
            cluster.send(name, SimulatedEdges.COORDINATOR, new EdgeHello(self, roster.term(), roster.number(), 0, 0));
        }

        void leave() {
            self = self.asLeaving();
            monitor.updateSelf(self, 0);
            sendHello();
        }

        long incarnation() {
            return self.incarnation();
        }

        Roster roster() {
            return roster;
        }

        @Override
        void receive(String from, Object frame, long now) {
            if (frame instanceof Heartbeat beat) {
                monitor.onHeartbeat(beat, now);
            } else if (frame instanceof EdgeWelcome welcome) {
                if (welcome.lacks(roster)) {
                    cluster.send(name, SimulatedEdges.COORDINATOR, roster);
                }
                monitor.onCoordinatorConnected();
            } else if (frame instanceof Roster newer && newer.isNewerThan(roster)) {
                roster = newer;
                monitor.updateRing(new WatchRing(newer), now);
                if (!newer.contains(self)) {
                    sendHello();
                }
            }
        }

        @Override
        void tick(long now) {
            monitor.tick(now);
        }

        @Override
        public void sendHeartbeat(Peer watcher, Heartbeat beat) {
            cluster.send(name, watcher.name(), beat);
        }

        @Override
        public void reportSuspicion(SuspicionReport suspect) {
            reportedSuspects.add(suspect.name());
            cluster.send(name, SimulatedEdges.COORDINATOR, suspect);
        }

        @Override
        public void withdrawSuspicion(SuspicionWithdrawal trust) {
            cluster.send(name, SimulatedEdges.COORDINATOR, trust);
        }

        @Override
        public void onProcessPaused(long ms) {
            pauses++;
        }
    }

    /** The hub. */
    static final class Coordinator extends TimelineColumn {
        private final SimulatedEdges cluster;
        private MembershipRegistry registry;
        final List<String> publishedRosters = new ArrayList<>();

        Coordinator(SimulatedEdges cluster) {
            super(SimulatedEdges.COORDINATOR);
            this.cluster = cluster;
        }

        void start(long term, long now) {
            inbox.clear();
            registry = new MembershipRegistry(term, now, (roster, why) -> {
                publishedRosters.add(now() + " " + roster.term() + "." + roster.number() + " " + why);
                cluster.broadcast(roster);
            });
        }

        private long now() {
            return cluster.now();
        }

        Roster roster() {
            return registry.roster();
        }

        @Override
        void receive(String from, Object frame, long now) {
            if (frame instanceof EdgeHello hello) {
                registry.onHello(hello, now);
                Roster newest = registry.newest();
                cluster.send(
                        name,
                        from,
                        new EdgeWelcome(
                                name, registry.roster().term(), true, 1, List.of(), newest.term(), newest.number()));
                if (registry.roster().number() > 0) {
                    cluster.send(name, from, registry.roster());
                }
            } else if (frame instanceof LinkClosed parted) {
                registry.onDisconnected(from, parted.incarnation(), now);
            } else if (frame instanceof Roster other) {
                registry.onReportedRoster(other, now);
            } else if (frame instanceof SuspicionReport suspect) {
                registry.onSuspicion(suspect);
            } else if (frame instanceof SuspicionWithdrawal trust) {
                registry.onWithdrawal(trust);
            }
        }

        @Override
        void tick(long now) {
            registry.tick(now);
        }
    }
}
