package brambletray.tray.keep;

import brambletray.runtime.Machine;
import brambletray.tray.berth.Berth;
import brambletray.tray.creed.Creed;
import brambletray.tray.creed.Service;
import brambletray.tray.news.Chunk;
import brambletray.tray.news.Fetch;
import brambletray.tray.news.Publisher;
import brambletray.tray.news.Pulse;
import brambletray.tray.news.RosterFetch;
import brambletray.tray.ring.Census;
import brambletray.tray.ring.Hello;
import brambletray.tray.ring.Homes;
import brambletray.tray.ring.Peer;
import brambletray.tray.ring.Roster;
import brambletray.tray.ring.Suspect;
import brambletray.tray.ring.Trust;
import brambletray.tray.ring.Welcome;
import brambletray.tray.speech.Link;
import brambletray.tray.tale.Tale;
import brambletray.tray.yard.Begun;
import brambletray.tray.yard.Claim;
import brambletray.tray.yard.Hands;
import brambletray.tray.yard.Mine;
import brambletray.tray.yard.Need;
import brambletray.tray.yard.Platform;
import brambletray.tray.yard.Quit;
import brambletray.tray.yard.Result;
import brambletray.tray.yard.Seen;
import brambletray.tray.yard.Size;
import brambletray.tray.yard.Terms;
import brambletray.tray.yard.Yard;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

/**
 * What the holder of the helm does in its term: tells edges of each other, of configurations and of hosts, and starts
 * and stops hosts. It begins knowing nothing, and is told by those who knew first. For the loop only.
 */
final class Hub {
    private static final Tale TALE = Tale.of("hub");
    /** ms between pulses. */
    private static final int PULSE = 250;
    /**
     * ms without the right to act after which edges are let go: a late tick of this process puts its lease in doubt for
     * one round only.
     */
    static final int DOUBT = 100;

    private static final long NEVER = Long.MIN_VALUE;

    private static final class Edge {
        private Link link;
        private Peer peer;
        /** Has been pulsed on this link, and not been let go since: what is said now is said under this term. */
        private boolean open;
        /** That it serves by, as it says itself. */
        private long revision;
    }

    private final long term;
    private final Supplier<Creed> creed;
    private final Publisher publisher;
    private final Map<String, Edge> edges = new HashMap<>();
    private final Census census;
    private final Yard yard;
    private final Platform platform;
    private Homes homes = new Homes(Roster.NONE);
    private long pulsedAt;
    private Pulse pulse;
    /** Since when the newest configuration is on its way to edges, ms; {@link #NEVER}: all have it. */
    private long spreadingSince = NEVER;

    private long lapsedAt = NEVER;
    private final Machine machine;
    private final Authority authority;

    /** What a hub asks before it speaks. */
    interface Authority {
        /** Whether this term may act at this moment. */
        boolean mayAct();

        /**
         * Whether all that was kept before the view in force has been applied here. Until then the configuration that
         * is known here may be older than one that was acknowledged.
         */
        boolean applied();

        /** What this member says to an edge's Hello. */
        Welcome welcome();

        /** The platform has refused a call under this term, as it has seen a higher one. */
        void fenced(long term);
    }

    Hub(
            Machine machine,
            Berth berth,
            long term,
            Supplier<Creed> creed,
            Publisher publisher,
            Authority authority,
            long now) {
        this.machine = machine;
        this.authority = authority;
        this.term = term;
        this.creed = creed;
        this.publisher = publisher;
        pulse = new Pulse(term, 0, 0);
        census = new Census(term, now, this::roster);
        brambletray.tray.berth.Platform told = berth.need("cloud-api.address", berth.platform());
        platform = new Platform(
                machine,
                new InetSocketAddress(told.address().host(), told.address().port()),
                new Platform.Name(berth.node(), term),
                told.ratePerS());
        yard = new Yard(
                new Terms(berth.zones(), told.lagMs(), told.ratePerS(), told.dutyRatePerS()),
                new YardHands(),
                this::homeOf,
                now);
        creed(now);
        TALE.tell("begins", "term", term, "revision", creed.get().revision());
    }

    long term() {
        return term;
    }

    Roster newest() {
        return census.newest();
    }

    Yard yard() {
        return yard;
    }

    /** For operators: the revision that this edge says it serves by, or -1: it has no link here. */
    long has(String name) {
        Edge edge = edges.get(name);
        return edge == null ? -1 : edge.revision;
    }

    private String homeOf(String service, String seat) {
        Peer home = homes.homeOf(service, seat);
        return home == null ? null : home.name();
    }

    /** Another configuration is in force. */
    void creed(long now) {
        Map<String, Size> sizes = new HashMap<>();
        Creed current = creed.get();
        if (current == Creed.NONE) {
            return;
        }
        for (Service service : current.services().values()) {
            sizes.put(service.name(), new Size(service.memoryMb(), service.bootMs()));
        }
        yard.creed(sizes, now);
        spreadingSince = now;
        if (authority.mayAct()) {
            pulseAll(now);
        }
    }

    /** For who may act, of what may be handed out: edges fetch what they lack. */
    private void pulseAll(long now) {
        pulsedAt = now;
        pulse = new Pulse(term, revision(), census.roster().number());
        edges.values().forEach(this::pulse);
    }

    private void roster(Roster roster, String why) {
        homes = new Homes(roster);
        Set<String> names = new HashSet<>();
        for (Peer peer : roster.peers()) {
            names.add(peer.name());
        }
        if (roster.number() == 1) {
            yard.expect(names);
        }
        TALE.tell(
                "roster",
                "term",
                roster.term(),
                "number",
                roster.number(),
                "peers",
                roster.peers().size(),
                "why",
                why);
    }

    void heard(String name, Link link, Object frame, long now) {
        if (frame instanceof Hello hello) {
            hello(name, link, hello, now);
            return;
        }
        Edge edge = edges.get(name);
        if (edge == null || edge.link != link) {
            return;
        }
        if (frame instanceof Need need) {
            yard.need(name, need, now);
        } else if (frame instanceof Quit quit) {
            yard.quit(name, quit, now);
        } else if (frame instanceof Seen seen) {
            yard.seen(name, seen, now);
        } else if (frame instanceof Claim claim) {
            yard.claim(name, claim, now);
        } else if (frame instanceof Mine mine) {
            yard.mine(name, mine, now);
        } else if (frame instanceof Suspect suspect) {
            census.suspect(suspect);
        } else if (frame instanceof Trust trust) {
            census.trust(trust);
        } else if (frame instanceof Roster roster) {
            census.told(roster, now);
        } else if (frame instanceof Fetch fetch) {
            fetch(edge, fetch, now);
        } else if (frame instanceof RosterFetch
                && edge.open
                && authority.mayAct()
                && census.roster().number() > 0) {
            edge.link.say(census.roster());
        }
    }

    private void fetch(Edge edge, Fetch fetch, long now) {
        edge.revision = fetch.revision();
        if (edge.open && authority.mayAct() && revision() > 0) {
            Chunk chunk = publisher.answer(fetch, term);
            if (chunk != null) {
                edge.link.say(chunk);
            }
        }
        spread(now);
    }

    /** Tells once when all edges on the line serve by the newest configuration. */
    private void spread(long now) {
        long newest = revision();
        if (spreadingSince != NEVER
                && newest > 0
                && edges.values().stream().allMatch(edge -> edge.revision >= newest)) {
            TALE.tell("spread", "term", term, "revision", newest, "edges", edges.size(), "ms", now - spreadingSince);
            spreadingSince = NEVER;
        }
    }

    private void hello(String name, Link link, Hello hello, long now) {
        Edge edge = edges.computeIfAbsent(name, none -> new Edge());
        edge.open &= edge.link == link;
        edge.link = link;
        edge.peer = hello.self();
        edge.revision = hello.revision();
        census.hello(hello, now);
        if (authority.mayAct()) {
            pulse = new Pulse(term, revision(), census.roster().number());
            pulse(edge);
        }
    }

    private void pulse(Edge edge) {
        edge.open |= edge.link.say(pulse);
    }

    /** Of the configuration that may be handed out, or 0: none yet. */
    private long revision() {
        return authority.applied() ? publisher.revision() : 0;
    }

    /** Edges look elsewhere, until this hub pulses again. */
    private void letGo(String why) {
        int all = 0;
        Welcome welcome = authority.welcome().withoutHelm();
        for (Edge edge : edges.values()) {
            if (edge.open) {
                all++;
                letGo(edge, welcome);
            }
        }
        if (all > 0) {
            TALE.tell("edges let go", "term", term, "why", why, "edges", all);
        }
    }

    private void letGo(Edge edge, Welcome welcome) {
        edge.open = false;
        edge.link.say(welcome);
    }

    void parted(String name, Link link, long now) {
        Edge edge = edges.get(name);
        if (edge != null && edge.link == link) {
            edges.remove(name);
            census.parted(name, edge.peer.life(), now);
            yard.edgeGone(name, now);
        }
    }

    /** Says and does nothing with authority while this term may not act. */
    void tick(long now) {
        if (!authority.mayAct()) {
            if (lapsedAt == NEVER) {
                lapsedAt = now;
            } else if (now - lapsedAt >= DOUBT) {
                letGo("the lease has run out or is in doubt");
            }
            return;
        }
        lapsedAt = NEVER;
        census.tick(now);
        yard.tick(now);
        if (now - pulsedAt >= PULSE
                || revision() != pulse.revision()
                || census.roster().number() != pulse.roster()) {
            pulseAll(now);
        }
    }

    /**
     * The term is over: nothing more is called, nor said but that. The links stay, by which edges are told of the next
     * helm.
     */
    void end() {
        platform.close();
        letGo("the term is over");
        edges.clear();
        TALE.tell("ends", "term", term);
    }

    private final class YardHands implements Hands {
        private long now() {
            return machine.clock().nanos() / 1_000_000;
        }

        @Override
        public void tell(String name, Object frame) {
            Edge edge = edges.get(name);
            // Who is not open tells what its seats know when it is again, and is told then what it has missed.
            if (edge != null && edge.open) {
                if (authority.mayAct()) {
                    edge.link.say(frame);
                } else {
                    letGo(edge, authority.welcome().withoutHelm());
                }
            }
        }

        @Override
        public void begin(String service, String worker, String nonce) {
            if (!authority.mayAct()) {
                machine.loop().execute(() -> yard.begun(nonce, Begun.of(Result.UNKNOWN), now()));
                return;
            }
            platform.begin(service, worker, nonce, begun -> {
                fenced(begun.result());
                yard.begun(nonce, begun, now());
            });
        }

        @Override
        public void stop(String id) {
            if (!authority.mayAct()) {
                machine.loop().execute(() -> yard.stopped(id, Result.UNKNOWN, now()));
                return;
            }
            platform.stop(id, result -> {
                fenced(result);
                yard.stopped(id, result, now());
            });
        }

        private void fenced(Result result) {
            if (result == Result.FENCED) {
                authority.fenced(term);
            }
        }

        @Override
        public void askList() {
            platform.list((hosts, complete) -> yard.listed(hosts, complete, now()));
        }

        @Override
        public void askWorkers() {
            platform.workers(workers -> {
                if (workers == null) {
                    yard.workersFailed(now());
                } else {
                    yard.workers(workers, now());
                }
            });
        }
    }
}
