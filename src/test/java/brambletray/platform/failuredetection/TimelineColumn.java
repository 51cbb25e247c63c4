package brambletray.platform.failuredetection;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.TreeSet;

/**
 * One process of a timeline: an edge with its heartbeat monitor, or the coordinator with its registry. The inbox
 * represents its sockets.
 */
abstract class TimelineColumn {
    /** A message in transit. */
    record Message(long arrivesAtMs, String from, Object frame) {}

    /** The link between this incarnation of an edge and the coordinator has closed. */
    record LinkClosed(long incarnation) {}

    final String name;
    final Deque<Message> inbox = new ArrayDeque<>();
    /** Current sign in the timeline. */
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

    /** One turn of the event loop. Timers run before messages are read, which is the more demanding order. */
    void runTurn(long now) {
        tick(now);
        while (!inbox.isEmpty() && inbox.peek().arrivesAtMs() <= now) {
            Message message = inbox.poll();
            receive(message.from(), message.frame(), now);
        }
    }

    static final class Edge extends TimelineColumn implements HeartbeatMonitor.Actions {
        private final SimulatedEdges cluster;
        private final String zone;
        private Peer self;
        private HeartbeatMonitor monitor;
        private Roster roster = Roster.NONE;
        /** Peers that it has reported as suspected since the start of the test. */
        final TreeSet<String> reportedSuspects = new TreeSet<>();

        int pauses;

        Edge(SimulatedEdges cluster, String name) {
            super(name);
            this.cluster = cluster;
            this.zone = name.substring(0, 1);
        }

        void start(long incarnation) {
            inbox.clear();
            self = new Peer(name, zone, name + ":7400", incarnation, Peer.ACTIVE);
            monitor = new HeartbeatMonitor(self, SimulatedEdges.HEARTBEAT_INTERVAL_MS, this);
            roster = Roster.NONE;
        }

        /** Called when the link to the coordinator is open, or when its own state has changed. */
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
            if (frame instanceof Heartbeat heartbeat) {
                monitor.onHeartbeat(heartbeat, now);
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
        public void sendHeartbeat(Peer watcher, Heartbeat heartbeat) {
            cluster.send(name, watcher.name(), heartbeat);
        }

        @Override
        public void reportSuspicion(SuspicionReport report) {
            reportedSuspects.add(report.name());
            cluster.send(name, SimulatedEdges.COORDINATOR, report);
        }

        @Override
        public void withdrawSuspicion(SuspicionWithdrawal withdrawal) {
            cluster.send(name, SimulatedEdges.COORDINATOR, withdrawal);
        }

        @Override
        public void onProcessPaused(long durationMs) {
            pauses++;
        }
    }

    /** The coordinator. */
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
            registry = new MembershipRegistry(term, now, (roster, reason) -> {
                publishedRosters.add(now() + " " + roster.term() + "." + roster.number() + " " + reason);
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
            } else if (frame instanceof LinkClosed linkClosed) {
                registry.onDisconnected(from, linkClosed.incarnation(), now);
            } else if (frame instanceof Roster reported) {
                registry.onReportedRoster(reported, now);
            } else if (frame instanceof SuspicionReport report) {
                registry.onSuspicion(report);
            } else if (frame instanceof SuspicionWithdrawal withdrawal) {
                registry.onWithdrawal(withdrawal);
            }
        }

        @Override
        void tick(long now) {
            registry.tick(now);
        }
    }
}
