package brambletray.tray.carry;

import brambletray.runtime.Machine;
import brambletray.tray.berth.Address;
import brambletray.tray.berth.Berth;
import brambletray.tray.berth.BerthFault;
import brambletray.tray.creed.Creed;
import brambletray.tray.creed.CreedFault;
import brambletray.tray.flow.Flow;
import brambletray.tray.flow.Front;
import brambletray.tray.flow.GracefulShutdown;
import brambletray.tray.flow.Lines;
import brambletray.tray.flow.Readiness;
import brambletray.tray.flow.Tally;
import brambletray.tray.home.Ask;
import brambletray.tray.home.Done;
import brambletray.tray.home.Elsewhere;
import brambletray.tray.home.Forget;
import brambletray.tray.home.Grant;
import brambletray.tray.home.Held;
import brambletray.tray.home.Laws;
import brambletray.tray.home.Refuse;
import brambletray.tray.news.Chunk;
import brambletray.tray.news.Fetch;
import brambletray.tray.news.Iam;
import brambletray.tray.news.Lexis;
import brambletray.tray.news.Signals;
import brambletray.tray.news.Subscriber;
import brambletray.tray.ring.Beat;
import brambletray.tray.ring.Hello;
import brambletray.tray.ring.Homes;
import brambletray.tray.ring.Peer;
import brambletray.tray.ring.Ring;
import brambletray.tray.ring.Roster;
import brambletray.tray.ring.Suspect;
import brambletray.tray.ring.Trust;
import brambletray.tray.ring.Watch;
import brambletray.tray.speech.Sockets;
import brambletray.tray.speech.Speech;
import brambletray.tray.tale.Tale;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;

/**
 * The program of an edge: puts the planes together, and decides nothing. For the loop only, once {@link #begin} has
 * run.
 */
public final class Carry {
    private static final Tale TALE = Tale.of("carry");
    /** ms: between ticks, each of which costs a wake-up; between figures in the log. */
    private static final int TICK = 50;

    private static final int FIGURES = 5_000;

    private static final int BEAT = 200;
    /** Addresses of hosts that are remembered, to know their calls by. */
    private static final int HOSTS = 4_096;
    /** Connections of clients; the rest of the descriptors is for hosts, relays and files. */
    private static final int CLIENTS = 2_000;

    private final Berth berth;
    private final Machine machine;
    private final IntConsumer exit;
    private final Speech speech = new Speech(Lexis.ALL);
    private final Iam iam;
    private final Tally tally = new Tally();
    private final Lines lines;
    private final Flow flow;
    private final Front front;
    private final GracefulShutdown shutdown;
    private final Steward steward;
    private final Hall hall;
    private final Mesh mesh;
    private final Tether tether;
    private final Subscriber subscriber = new Subscriber(new SubscriberOut());
    private final Watch watch;
    private final Map<String, Boolean> hostIps = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > HOSTS;
        }
    };
    private Peer self;
    private Creed creed = Creed.NONE;
    private Roster roster = Roster.NONE;
    private Homes homes = new Homes(Roster.NONE);
    private boolean leaving;
    private long figuresAt;
    /** When the seats are called next, ms. */
    private long hallAt = Long.MAX_VALUE;

    /**
     * On the loop; {@link #open} follows. {@code life}: drawn at random; {@code exit}: ends the process with this code.
     */
    Carry(Berth berth, Machine machine, long life, IntConsumer exit) {
        this.exit = exit;
        this.berth = berth;
        this.machine = machine;
        Address inner = new Address(berth.ip(), berth.innerLow());
        self = new Peer(berth.node(), berth.zone(), inner.toString(), life, Peer.IN);
        iam = new Iam(self.name(), self.address(), false);
        lines = new Lines(machine, 4_000, tally);
        Laws laws = Laws.of(
                berth.bounds().retryBudgetRatio(),
                (int) berth.bounds().retryBudgetSlack(),
                (int) (berth.bounds().retryWindowS() * 1_000),
                Math.max(1, berth.zones().size()));
        String nonces = self.name() + "-" + Long.toHexString(life & 0xffffffffL);
        hall = new Hall(self.name(), self.zone(), nonces, laws, new HallWays(), this::now);
        steward = new Steward(new StewardWays(), new Spots(), this::now);
        flow = new Flow(
                machine,
                self.name(),
                self.zone(),
                () -> creed,
                steward,
                hostIps::containsKey,
                lines,
                tally,
                Math.min(48L << 20, (long) berth.limits().memoryMb() << 17),
                life);
        front = new Front(machine, flow, CLIENTS);
        shutdown = new GracefulShutdown(machine, flow, front, exit);
        mesh = new Mesh(machine, speech, inner, iam, new Peers());
        tether = new Tether(machine, speech, iam, members(berth), (int) life, new HubEar());
        watch = new Watch(self, BEAT, new WatchHands());
    }

    private static List<Address> members(Berth berth) {
        List<Address> members = new ArrayList<>();
        for (Address seed : berth.seeds()) {
            members.add(new Address(seed.host(), berth.innerLow()));
        }
        return members;
    }

    /** Runs until it is told to end; the process's exit code. {@code life}: drawn at random. */
    public static void begin(Berth berth, long life) {
        Machine machine = Sockets.machine();
        Address frontEnd = berth.need("bind-addresses.front-end", berth.frontEnd());
        Address readiness = berth.need("bind-addresses.readiness", berth.readiness());
        if (berth.innerLow() == 0) {
            berth.need("internal-port-range", null);
        }
        machine.loop().execute(() -> {
            Carry carry = new Carry(berth, machine, life, System::exit);
            carry.open(frontEnd, readiness);
            Signals.heardBy(carry.new Signalled());
        });
    }

    private final class Signalled implements Signals.Program {
        @Override
        public void terminate() {
            machine.loop().execute(Carry.this::leave);
        }

        @Override
        public void reload() {
            machine.loop().execute(Carry.this::reread);
        }
    }

    void open(Address frontEnd, Address readiness) {
        front.open(frontEnd).addListener(done -> opened("front-end", frontEnd, done.cause()));
        new Readiness(machine, this::ready)
                .open(readiness)
                .addListener(done -> opened("readiness", readiness, done.cause()));
        machine.loop().scheduleWithFixedDelay(this::tick, TICK, TICK, TimeUnit.MILLISECONDS);
        TALE.tell("started", "node", self.name(), "zone", self.zone(), "life", Long.toHexString(self.life()));
    }

    private void opened(String what, Address at, Throwable cause) {
        if (cause != null) {
            TALE.warn("cannot listen", "field", "bind-addresses." + what, "address", at, "why", cause);
            exit.accept(2);
        }
    }

    /** The configuration that requests are served by. */
    Creed creed() {
        return creed;
    }

    boolean ready() {
        return !leaving && creed != Creed.NONE && roster.find(self.name()) != null;
    }

    private long now() {
        return machine.clock().nanos() / 1_000_000;
    }

    private void tick() {
        try {
            long now = now();
            tether.tick(now);
            subscriber.tick(now);
            watch.tick(now);
            if (hallAt == Long.MAX_VALUE || now - hallAt > 200) {
                // Guards against a call that failed, and said no next time.
                hallAt = Long.MAX_VALUE;
                hallDue(now);
            }
            if (now - figuresAt > FIGURES) {
                figuresAt = now;
                List<Object> facts = new ArrayList<>(List.of(
                        "waiting",
                        steward.waiting(),
                        "held",
                        steward.held(),
                        "seats",
                        hall.seats(),
                        "revision",
                        creed.revision(),
                        "connections",
                        front.connections()));
                facts.addAll(List.of(tally.facts()));
                TALE.tell("figures", facts.toArray());
            }
        } catch (RuntimeException e) {
            TALE.warn("tick failed", "why", e, "at", e.getStackTrace().length > 0 ? e.getStackTrace()[0] : "");
        }
    }

    /** The seats are called when they have asked to be, and no oftener. */
    private void hallDue(long at) {
        if (at < hallAt) {
            hallAt = at;
            machine.loop().schedule(() -> hallCall(at), Math.max(1, at - now()), TimeUnit.MILLISECONDS);
        }
    }

    private void hallCall(long at) {
        if (at == hallAt) {
            hallAt = Long.MAX_VALUE;
            hall.tick();
        }
    }

    void reread() {
        try {
            tether.members(members(berth.reread()));
            TALE.tell("settings read again");
        } catch (BerthFault fault) {
            TALE.warn("settings not used", "code", fault.code(), "why", fault.getMessage());
        }
    }

    /** Says so first, serves on until clients have been sent elsewhere, then ends with nothing under way. */
    void leave() {
        if (leaving) {
            return;
        }
        leaving = true;
        long grace = (long) (berth.bounds().graceS() * 1_000);
        TALE.tell("leaving", "grace-ms", grace, "in-flight", flow.inFlight());
        shutdown.begin(grace);
        self = self.leaving();
        watch.self(self, creed.revision());
        tether.say(new Hello(self, roster.term(), roster.number(), creed.revision(), tether.term()));
    }

    // ---- News -----------------------------------------------------------------------------------
    private final class SubscriberOut implements Subscriber.Out {
        @Override
        public void fetch(Fetch fetch) {
            tether.say(fetch);
        }

        @Override
        public void took(Creed next, int bytes, long ms) {
            long before = creed.revision();
            creed = next;
            watch.self(self, creed.revision());
            hall.creed(creed);
            TALE.tell(
                    "configuration",
                    "revision",
                    creed.revision(),
                    "before",
                    before,
                    "routes",
                    creed.routes().size(),
                    "bytes",
                    bytes,
                    "ms",
                    ms);
        }

        @Override
        public void refused(CreedFault fault) {
            TALE.warn(
                    "configuration not taken",
                    "revision",
                    creed.revision(),
                    "code",
                    fault.code(),
                    "why",
                    fault.getMessage());
        }
    }

    private void take(Roster next) {
        if (!next.newerThan(roster)) {
            return;
        }
        List<String> gone = new ArrayList<>();
        for (Peer peer : roster.peers()) {
            Peer now = next.find(peer.name());
            if (now == null || now.life() != peer.life()) {
                gone.add(peer.name());
            }
        }
        roster = next;
        homes = new Homes(next);
        mesh.roster(next);
        hall.roster(homes, gone);
        steward.roster(homes);
        watch.ring(new Ring(next), now());
        TALE.tell(
                "roster",
                "term",
                next.term(),
                "number",
                next.number(),
                "peers",
                next.peers().size(),
                "gone",
                gone);
        if (!next.lists(self)) {
            tether.say(new Hello(self, roster.term(), roster.number(), creed.revision(), tether.term()));
        }
    }

    private final class HubEar implements Tether.Ear {
        @Override
        public Object hello() {
            return new Hello(self, roster.term(), roster.number(), creed.revision(), tether.term());
        }

        @Override
        public Roster roster() {
            return roster;
        }

        @Override
        public void roster(Roster next) {
            take(next);
        }

        @Override
        public void newest(long revision) {
            subscriber.newest(revision, now());
        }

        @Override
        public void chunk(Chunk chunk) {
            subscriber.heard(chunk, now());
        }

        @Override
        public void heard(Object frame) {
            hall.heard(frame);
        }

        @Override
        public void attached(long term) {
            watch.hub();
            tether.say(hall.mine());
            subscriber.attached(now());
        }
    }

    private final class Peers implements Mesh.Ear {
        @Override
        public void heard(String peer, Object frame) {
            if (frame instanceof Ask ask) {
                hall.ask(ask, false);
            } else if (frame instanceof Done done) {
                hall.done(peer, done);
            } else if (frame instanceof Grant grant) {
                steward.granted(peer, grant);
            } else if (frame instanceof Refuse refuse) {
                steward.refused(peer, refuse);
            } else if (frame instanceof Elsewhere elsewhere) {
                steward.elsewhere(peer, elsewhere);
            } else if (frame instanceof Forget forget) {
                hall.forget(peer, forget);
            } else if (frame instanceof Held held) {
                hall.held(held);
            } else if (frame instanceof Beat beat) {
                watch.heard(beat, now());
            }
        }

        @Override
        public void up(String peer) {
            steward.again(peer);
        }

        @Override
        public void down(String peer) {
            machine.loop().schedule(steward::reroute, 150, TimeUnit.MILLISECONDS);
        }
    }

    private final class WatchHands implements Watch.Hands {
        @Override
        public void beat(Peer watcher, Beat beat) {
            mesh.say(watcher.name(), beat);
        }

        @Override
        public void suspect(Suspect suspect) {
            tether.say(suspect);
        }

        @Override
        public void trust(Trust trust) {
            tether.say(trust);
        }

        @Override
        public void slept(long ms) {
            TALE.tell("slept", "ms", ms);
        }
    }

    private final class Spots implements Steward.Spots {
        @Override
        public void host(String address) {
            hostIps.put(address.substring(0, address.lastIndexOf(':')), Boolean.TRUE);
        }

        @Override
        public void heldHere(Held held) {
            hall.held(held);
        }
    }

    private final class StewardWays implements Steward.Ways {
        @Override
        public String self() {
            return self.name();
        }

        @Override
        public String zone() {
            return self.zone();
        }

        @Override
        public void here(Ask ask, boolean stay) {
            hall.ask(ask, stay);
        }

        @Override
        public void doneHere(Done done) {
            hall.done(self.name(), done);
        }

        @Override
        public void forgetHere(Forget forget) {
            hall.forget(self.name(), forget);
        }

        @Override
        public boolean say(String edge, Object frame) {
            return mesh.say(edge, frame);
        }

        @Override
        public boolean shunned(String edge) {
            return mesh.shunned(edge);
        }
    }

    private final class HallWays implements Hall.Ways {
        @Override
        public void grant(String edge, Grant grant) {
            if (edge.equals(self.name())) {
                steward.granted(edge, grant);
            } else {
                mesh.answer(edge, grant);
            }
        }

        @Override
        public void refuse(String edge, Refuse refuse) {
            if (edge.equals(self.name())) {
                steward.refused(edge, refuse);
            } else {
                mesh.answer(edge, refuse);
            }
        }

        @Override
        public void elsewhere(String edge, Elsewhere elsewhere) {
            if (edge.equals(self.name())) {
                steward.elsewhere(edge, elsewhere);
            } else {
                mesh.answer(edge, elsewhere);
            }
        }

        @Override
        public void due(long at) {
            hallDue(at);
        }

        @Override
        public void hub(Object frame) {
            tether.say(frame);
        }

        @Override
        public void knock(String service, String host, String address) {
            lines.knock(host, address, ok -> hall.knocked(host, ok));
        }
    }
}
