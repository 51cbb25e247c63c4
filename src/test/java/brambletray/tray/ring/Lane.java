package brambletray.tray.ring;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.TreeSet;

/**
 * One process of a drawn timeline: an edge, with its watch, or what the hub's machine runs. Its inbox stands for its
 * sockets.
 */
abstract class Lane {
    /** A frame on its way; {@code at}: when it arrives. */
    record Mail(long at, String from, Object frame) {}

    /** The link of this life of an edge to the hub is closed. */
    record Parted(long life) {}

    final String name;
    final Deque<Mail> inbox = new ArrayDeque<>();
    /** What the picture shows now. */
    char sign = '.';

    Lane(String name) {
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
    static final class Edge extends Lane implements Watch.Hands {
        private final Village village;
        private final String zone;
        private Peer self;
        private Watch watch;
        private Roster roster = Roster.NONE;
        /** Whose suspicion it has told since it began. */
        final TreeSet<String> told = new TreeSet<>();

        int sleeps;

        Edge(Village village, String name) {
            super(name);
            this.village = village;
            this.zone = name.substring(0, 1);
        }

        void start(long life) {
            inbox.clear();
            self = new Peer(name, zone, name + ":7400", life, Peer.IN);
            watch = new Watch(self, Village.INTERVAL, this);
            roster = Roster.NONE;
        }

        /** The link to the hub is up, or its own state is another. */
        void hello() {
            village.send(name, Village.HUB, new Hello(self, roster.term(), roster.number(), 0, 0));
        }

        void leave() {
            self = self.leaving();
            watch.self(self, 0);
            hello();
        }

        long life() {
            return self.life();
        }

        Roster roster() {
            return roster;
        }

        @Override
        void read(String from, Object frame, long now) {
            if (frame instanceof Beat beat) {
                watch.heard(beat, now);
            } else if (frame instanceof Welcome welcome) {
                if (welcome.lacks(roster)) {
                    village.send(name, Village.HUB, roster);
                }
                watch.hub();
            } else if (frame instanceof Roster newer && newer.newerThan(roster)) {
                roster = newer;
                watch.ring(new Ring(newer), now);
                if (!newer.lists(self)) {
                    hello();
                }
            }
        }

        @Override
        void tick(long now) {
            watch.tick(now);
        }

        @Override
        public void beat(Peer watcher, Beat beat) {
            village.send(name, watcher.name(), beat);
        }

        @Override
        public void suspect(Suspect suspect) {
            told.add(suspect.name());
            village.send(name, Village.HUB, suspect);
        }

        @Override
        public void trust(Trust trust) {
            village.send(name, Village.HUB, trust);
        }

        @Override
        public void slept(long ms) {
            sleeps++;
        }
    }

    /** The hub. */
    static final class Hub extends Lane {
        private final Village village;
        private Census census;
        final List<String> said = new ArrayList<>();

        Hub(Village village) {
            super(Village.HUB);
            this.village = village;
        }

        void start(long term, long now) {
            inbox.clear();
            census = new Census(term, now, (roster, why) -> {
                said.add(now() + " " + roster.term() + "." + roster.number() + " " + why);
                village.tellAll(roster);
            });
        }

        private long now() {
            return village.now();
        }

        Roster roster() {
            return census.roster();
        }

        @Override
        void read(String from, Object frame, long now) {
            if (frame instanceof Hello hello) {
                census.hello(hello, now);
                Roster newest = census.newest();
                village.send(
                        name,
                        from,
                        new Welcome(name, census.roster().term(), true, 1, List.of(), newest.term(), newest.number()));
                if (census.roster().number() > 0) {
                    village.send(name, from, census.roster());
                }
            } else if (frame instanceof Parted parted) {
                census.parted(from, parted.life(), now);
            } else if (frame instanceof Roster other) {
                census.told(other, now);
            } else if (frame instanceof Suspect suspect) {
                census.suspect(suspect);
            } else if (frame instanceof Trust trust) {
                census.trust(trust);
            }
        }

        @Override
        void tick(long now) {
            census.tick(now);
        }
    }
}
