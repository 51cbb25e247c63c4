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
    record Mail(long at, String from, Object frame) {}

    /** The link of this incarnation of an edge to the coordinator is closed. */
    record Parted(long life) {}

    final String name;
    final Deque<Mail> inbox = new ArrayDeque<>();
    /** What the picture shows now. */
    char sign = '.';

    TimelineColumn(String name) {
        this.name = name;
    }

    boolean runs() {
        return sign == '|' || sign == '~' || sign == 'L';
    }

    boolean cut() {
        return sign == '~';
    }

    abstract void read(String from, Object frame, long now);

    abstract void tick(long now);

    /** One turn of its loop; timers come before what lies in the sockets, which is the harder order. */
    void turn(long now) {
        tick(now);
        while (!inbox.isEmpty() && inbox.peek().at() <= now) {
            Mail mail = inbox.poll();
            read(mail.from(), mail.frame(), now);
        }
    }

    /** An edge. */
    static final class Edge extends TimelineColumn implements HeartbeatMonitor.Actions {
        private final SimulatedEdges cluster;
        private final String zone;
        private Peer self;
        private HeartbeatMonitor watch;
        private Roster roster = Roster.NONE;
        /** Whose suspicion it has told since it began. */
        final TreeSet<String> notified = new TreeSet<>();

        int sleeps;

        Edge(SimulatedEdges cluster, String name) {
            super(name);
            this.cluster = cluster;
            this.zone = name.substring(0, 1);
        }

        void start(long life) {
            inbox.clear();
            self = new Peer(name, zone, name + ":7400", life, Peer.ACTIVE);
            watch = new HeartbeatMonitor(self, SimulatedEdges.INTERVAL, this);
            roster = Roster.NONE;
        }

        /** The link to the coordinator is up, or its own state is another. */
        void hello() {
            cluster.send(name, SimulatedEdges.HUB, new EdgeHello(self, roster.term(), roster.number(), 0, 0));
        }

        void leave() {
            self = self.asLeaving();
            watch.updateSelf(self, 0);
            hello();
        }

        long life() {
            return self.incarnation();
        }

        Roster roster() {
            return roster;
        }

        @Override
        void read(String from, Object frame, long now) {
            if (frame instanceof Heartbeat beat) {
                watch.onHeartbeat(beat, now);
            } else if (frame instanceof EdgeWelcome welcome) {
                if (welcome.lacks(roster)) {
                    cluster.send(name, SimulatedEdges.HUB, roster);
                }
                watch.onCoordinatorConnected();
            } else if (frame instanceof Roster newer && newer.isNewerThan(roster)) {
                roster = newer;
                watch.updateRing(new WatchRing(newer), now);
                if (!newer.contains(self)) {
                    hello();
                }
            }
        }

        @Override
        void tick(long now) {
            watch.tick(now);
        }

        @Override
        public void sendHeartbeat(Peer watcher, Heartbeat beat) {
            cluster.send(name, watcher.name(), beat);
        }

        @Override
        public void reportSuspicion(SuspicionReport suspect) {
            notified.add(suspect.name());
            cluster.send(name, SimulatedEdges.HUB, suspect);
        }

        @Override
        public void withdrawSuspicion(SuspicionWithdrawal trust) {
            cluster.send(name, SimulatedEdges.HUB, trust);
        }

        @Override
        public void onProcessPaused(long ms) {
            sleeps++;
        }
    }

    /** The hub. */
    static final class Hub extends TimelineColumn {
        private final SimulatedEdges cluster;
        private MembershipRegistry membership;
        final List<String> said = new ArrayList<>();

        Hub(SimulatedEdges cluster) {
            super(SimulatedEdges.HUB);
            this.cluster = cluster;
        }

        void start(long term, long now) {
            inbox.clear();
            membership = new MembershipRegistry(term, now, (roster, why) -> {
                said.add(now() + " " + roster.term() + "." + roster.number() + " " + why);
                cluster.tellAll(roster);
            });
        }

        private long now() {
            return cluster.now();
        }

        Roster roster() {
            return membership.roster();
        }

        @Override
        void read(String from, Object frame, long now) {
            if (frame instanceof EdgeHello hello) {
                membership.onHello(hello, now);
                Roster newest = membership.newest();
                cluster.send(
                        name,
                        from,
                        new EdgeWelcome(
                                name, membership.roster().term(), true, 1, List.of(), newest.term(), newest.number()));
                if (membership.roster().number() > 0) {
                    cluster.send(name, from, membership.roster());
                }
            } else if (frame instanceof Parted parted) {
                membership.onDisconnected(from, parted.life(), now);
            } else if (frame instanceof Roster other) {
                membership.onReportedRoster(other, now);
            } else if (frame instanceof SuspicionReport suspect) {
                membership.onSuspicion(suspect);
            } else if (frame instanceof SuspicionWithdrawal trust) {
                membership.onWithdrawal(trust);
            }
        }

        @Override
        void tick(long now) {
            membership.tick(now);
        }
    }
}
