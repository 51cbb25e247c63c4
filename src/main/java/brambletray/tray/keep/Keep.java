package brambletray.tray.keep;

import brambletray.runtime.Machine;
import brambletray.tray.berth.Address;
import brambletray.tray.berth.Berth;
import brambletray.tray.berth.BerthFault;
import brambletray.tray.creed.Creed;
import brambletray.tray.creed.History;
import brambletray.tray.news.Iam;
import brambletray.tray.news.Lexis;
import brambletray.tray.news.Publisher;
import brambletray.tray.news.Signals;
import brambletray.tray.ring.Hello;
import brambletray.tray.ring.Roster;
import brambletray.tray.ring.Welcome;
import brambletray.tray.speech.Link;
import brambletray.tray.speech.Sockets;
import brambletray.tray.speech.Speech;
import brambletray.tray.tale.Tale;
import brambletray.tray.trove.Change;
import brambletray.tray.trove.DurableStore;
import brambletray.tray.trove.Scribe;
import brambletray.tray.trove.Trove;
import brambletray.tray.trove.TroveFault;
import brambletray.tray.view.Declaration;
import brambletray.tray.view.Frame;
import brambletray.tray.view.Kept;
import brambletray.tray.view.Member;
import brambletray.tray.view.Members;
import brambletray.tray.view.Out;
import brambletray.tray.view.Outcome;
import brambletray.tray.view.Settings;
import brambletray.tray.view.Status;
import brambletray.tray.view.Tolerance;
import brambletray.tray.vow.Ballots;
import brambletray.tray.vow.Spans;
import brambletray.tray.vow.Vow;
import io.netty.channel.ChannelFuture;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The program of the core: puts the planes together, and decides nothing. For the loop only, once {@link #begin} has
 * run.
 */
public final class Keep {
    private static final Tale TALE = Tale.of("keep");
    /** ms between ticks, each of which costs a wake-up. */
    private static final int TICK = 50;
    /** ms until a disk that could not be opened is tried again. */
    private static final int DISK_AGAIN = 200;
    /** ms that a process stays at least after it was told to end, so that the others hear that the helm is free. */
    private static final int STAY = 300;
    /** ms that its last answers are given to go out. */
    private static final int LAST_WORDS = 100;

    private static final String HELM = "helm";

    private final Berth berth;
    private final Machine machine;
    private final Speech speech = new Speech(Lexis.ALL);
    private final String address;
    private final DurableStore store;
    private final Runnable exit;
    private final Operators operators;
    private final Members members;
    private final Kin kin;
    private final Vow vow;
    private final Views views;
    private final Greeter edges = new Greeter(this::welcome);
    /**
     * Kept by each member, whether it holds the helm or not: the next holder goes on with differences from what edges
     * have.
     */
    private final History history = new History();

    private final Publisher publisher = new Publisher(history);
    private Hub hub;
    /** Steady ms since when this process is to end, and since when the others go on without it; -1: not so. */
    private long leavingAt = -1;

    private long leftAt = -1;
    /** The term of the helm that is held here, 0 for none. */
    private long held;

    /**
     * What a process of the core runs on. Real, or simulated with the same contract.
     *
     * @param kept what the disk held at the start
     * @param store writes to that disk; replies come on the machine's loop
     * @param exit ends the process; may return, and nothing of it counts from then on
     */
    record Environment(Machine machine, Map<String, byte[]> kept, DurableStore store, Runnable exit) {}

    /** On the loop; {@link #start} follows. {@code life}, {@code origin}: drawn at random, not 0. */
    Keep(Berth berth, Environment environment, long life, long origin) {
        this.berth = berth;
        machine = environment.machine();
        store = environment.store();
        exit = environment.exit();
        Map<String, byte[]> kept = environment.kept();
        address = berth.control().toString();
        operators = new Operators(new MemberOrder(), this::creedChanged);
        kin = new Kin(
                machine,
                speech,
                new Address(berth.ip(), berth.innerLow()),
                new Iam(berth.node(), address, true),
                new KinEar());
        members = new Members(
                address,
                berth.node(),
                berth.zone(),
                life,
                origin,
                Kept.read(kept),
                seeds(berth),
                berth.initialStart(),
                settings(berth),
                new MemberOut(),
                operators,
                now());
        vow = new Vow(HELM, members.status().me(), kept.get(Vow.key(HELM)), Spans.usual(), new VowOut(), now());
        views = new Views(new Sights(
                members::status,
                members::zonesHoldingHalf,
                () -> operators.charter().creed(),
                () -> vow.holder(now()),
                () -> hub != null && mayAct() ? hub : null,
                this::now));
    }

    private static Settings settings(Berth berth) {
        Tolerance borne = new Tolerance(berth.machineLosses(), berth.zoneLosses(), berth.regionLosses(), berth.zones());
        return Settings.usual(borne, leaveMs(berth));
    }

    /** How long a process that is told to end stays at most, ms: grace-s less a margin, in which it ends by itself. */
    private static int leaveMs(Berth berth) {
        int grace = (int) (berth.bounds().graceS() * 1_000);
        return Math.max(grace / 2, grace - 1_000);
    }

    private static List<String> seeds(Berth berth) {
        List<String> seeds = new ArrayList<>();
        berth.seeds().forEach(seed -> seeds.add(seed.toString()));
        return seeds;
    }

    /**
     * Runs until it is told to end. {@code life}, {@code origin}: drawn at random. Throws {@link TroveFault} where the
     * disk cannot be used.
     */
    public static void begin(Berth berth, long life, long origin) throws InterruptedException {
        Machine machine = Sockets.machine();
        Address control = berth.need("bind-addresses.control-plane", berth.control());
        Trove trove = open(berth.need("data-dir", berth.dataDir()));
        Map<String, byte[]> kept = new HashMap<>();
        for (Map.Entry<String, byte[]> one : trove.prefix("")) {
            kept.put(one.getKey(), one.getValue());
        }
        Environment real = new Environment(machine, kept, new Scribe(trove, machine.loop()), () -> System.exit(0));
        Keep[] made = new Keep[1];
        machine.loop()
                .submit(() -> {
                    made[0] = new Keep(berth, real, life, origin);
                    made[0].start();
                    Signals.heardBy(made[0].new Signalled());
                })
                .sync();
        made[0].open().sync();
        TALE.tell("started", "node", berth.node(), "control", control, "kept", kept.size());
    }

    /** Ticks from now on; on the loop. */
    void start() {
        machine.loop().scheduleWithFixedDelay(this::tick, TICK, TICK, TimeUnit.MILLISECONDS);
    }

    /** Listens at the control-plane address; the future fails with what the system says where it cannot. */
    ChannelFuture open() {
        Dispatch<Door.Desk> table = new Dispatch<>();
        operators.register(table);
        views.register(table);
        new MemberOrders(this::declareDead).register(table);
        return new Door(table).open(machine, berth.control());
    }

    private void declareDead(String address, long life, Consumer<Declaration> then) {
        members.declareDead(address, life, now(), result -> machine.loop().execute(() -> then.accept(result)));
    }

    /** The disk, for as long as it takes: one that refuses is tried again, one that holds no whole store counts as lost, and its life with it. */
    private static Trove open(Path dir) throws InterruptedException {
        for (; ; ) {
            try {
                return Trove.open(dir);
            } catch (TroveFault fault) {
                TALE.warn("disk not opened", "code", fault.code(), "why", fault.getMessage());
                if (fault.code().equals("trove.broken")) {
                    Trove.abandon(dir);
                } else if (fault.code().equals("trove.format")) {
                    throw fault;
                } else {
                    TimeUnit.MILLISECONDS.sleep(DISK_AGAIN);
                }
            }
        }
    }

    private long now() {
        return machine.clock().nanos() / 1_000_000;
    }

    private void tick() {
        try {
            long now = now();
            members.tick(now);
            operators.tick(now);
            kin.tick(now);
            vow.view(members.status(), now);
            vow.tick(now);
            views.tick();
            takeUp();
            if (hub != null) {
                hub.tick(now);
            }
            edges.tick(now);
            if (leavingAt >= 0) {
                depart(now);
            }
        } catch (RuntimeException e) {
            TALE.warn("tick failed", "why", e, "at", e.getStackTrace().length > 0 ? e.getStackTrace()[0] : "");
        }
    }

    /**
     * There is a hub for the term that is held, and for no other; one that was won but may not act yet is taken up at a
     * later tick.
     */
    private void takeUp() {
        long now = now();
        if (hub != null && hub.term() != held) {
            hub.end();
            hub = null;
        }
        if (hub == null && held != 0 && vow.mayAct(now)) {
            hub = new Hub(machine, berth, held, () -> operators.charter().creed(), publisher, new HubAuthority(), now);
            edges.hub(hub, now);
        }
    }

    /** Where this member stands. */
    Status status() {
        return members.status();
    }

    /** Whether it holds the helm, and may act by it now. */
    boolean mayAct() {
        return vow.mayAct(now());
    }

    /** Where edges reach a member of the core. */
    private String inner(Member member) {
        return new Address(Address.parse(member.address()).host(), berth.innerLow()).toString();
    }

    private Welcome welcome() {
        long hubTerm = hub == null ? 0 : hub.term();
        return Greeter.welcome(
                members.status(), vow.holder(now()), hubTerm, hub == null ? Roster.NONE : hub.newest(), this::inner);
    }

    private void creedChanged() {
        Creed creed = operators.charter().creed();
        history.become(creed);
        TALE.tell(
                "configuration",
                "revision",
                creed.revision(),
                "routes",
                creed.routes().size(),
                "services",
                creed.services().size());
        if (hub != null) {
            hub.creed(now());
        }
    }

    private void reread() {
        try {
            Berth now = berth.reread();
            members.settings(settings(now), seeds(now));
            TALE.tell("settings read again");
        } catch (BerthFault fault) {
            TALE.warn("settings not used", "code", fault.code(), "why", fault.getMessage());
        }
    }

    /** SIGTERM; a second one changes nothing. */
    void leave() {
        if (leavingAt >= 0) {
            return;
        }
        leavingAt = now();
        TALE.tell("leaving");
        int most = leaveMs(berth);
        machine.loop().schedule(exit, most + Math.min(500, most / 10), TimeUnit.MILLISECONDS);
        vow.yield(leavingAt);
        members.leave(leavingAt);
    }

    /** Ends the process once the others go on without it and the calls under way have their answers. */
    private void depart(long now) {
        if (leftAt < 0 && members.left()) {
            leftAt = now;
        }
        boolean still = leftAt < 0 || !operators.idle();
        if (!still && now - leftAt >= LAST_WORDS && now - leavingAt >= STAY) {
            TALE.tell("left", "ms", now - leavingAt);
            exit.run();
        }
    }

    private final class Signalled implements Signals.Program {
        @Override
        public void terminate() {
            machine.loop().execute(Keep.this::leave);
        }

        @Override
        public void reload() {
            machine.loop().execute(Keep.this::reread);
        }
    }

    private final class MemberOrder implements Operators.Order {
        @Override
        public Status status() {
            return members.status();
        }

        @Override
        public String successor() {
            return members.successor();
        }

        @Override
        public void propose(long token, byte[] change) {
            machine.loop().execute(() -> members.propose(token, change, now()));
        }

        @Override
        public void confirm(long token) {
            machine.loop().execute(() -> members.confirm(token, now()));
        }
    }

    /** Keeps changes durably; one of the two follows, on the loop. */
    private void keep(Map<String, byte[]> changes, Runnable done, Runnable failed) {
        List<Change> all = new ArrayList<>(changes.size());
        changes.forEach((key, value) -> all.add(new Change(key, value)));
        boolean taken = store.commit(all, now(), new DurableStore.Reply() {
            @Override
            public void done() {
                done.run();
            }

            @Override
            public void failed(TroveFault fault) {
                failed.run();
            }
        });
        if (!taken) {
            machine.loop().execute(failed);
        }
    }

    private final class VowOut implements brambletray.tray.vow.Out {
        @Override
        public void send(String to, Ballots frame) {
            kin.say(to, frame);
        }

        @Override
        public void persist(long ticket, Map<String, byte[]> changes) {
            keep(changes, () -> vow.synced(ticket, now()), () -> vow.syncFailed(ticket, now()));
        }

        @Override
        public void won(long term) {
            held = term;
            machine.loop().execute(Keep.this::takeUp);
        }

        @Override
        public void lost(long term) {
            held = 0;
            machine.loop().execute(Keep.this::takeUp);
        }

        @Override
        public void tell(String event, Object... facts) {
            TALE.tell(event, facts);
        }
    }

    private final class MemberOut implements Out {
        @Override
        public void send(String to, Frame frame) {
            kin.say(to, frame);
        }

        @Override
        public void persist(long ticket, Map<String, byte[]> changes) {
            keep(changes, () -> members.synced(ticket, now()), () -> members.syncFailed(ticket, now()));
        }

        @Override
        public void outcome(long token, Outcome outcome) {
            machine.loop().execute(() -> operators.outcome(token, outcome));
        }

        @Override
        public void confirmed(long token, boolean yes) {
            machine.loop().execute(() -> operators.confirmed(token, yes));
        }

        @Override
        public void changed() {
            machine.loop().execute(operators::changed);
        }

        @Override
        public void tell(String event, Object... facts) {
            TALE.tell(event, facts);
        }

        @Override
        public void warn(String event, Object... facts) {
            TALE.warn(event, facts);
        }
    }

    private final class HubAuthority implements Hub.Authority {
        @Override
        public boolean mayAct() {
            return Keep.this.mayAct();
        }

        @Override
        public boolean applied() {
            return members.status().settled();
        }

        @Override
        public Welcome welcome() {
            return Keep.this.welcome();
        }

        @Override
        public void fenced(long term) {
            vow.doubt(term + 1, now());
        }
    }

    private final class KinEar implements Kin.Ear {
        @Override
        public void member(String from, Object frame) {
            if (frame instanceof Ballots) {
                vow.heard(from, frame, now());
            } else {
                members.heard(from, frame, now());
            }
        }

        @Override
        public void gone(String who) {
            members.gone(who, now());
        }

        @Override
        public void edge(String name, Link link) {
            edges.came(name, link);
        }

        @Override
        public void edge(String name, Link link, Object frame) {
            if (frame instanceof Hello hello) {
                vow.doubt(hello.term(), now());
                edges.hello(link, hello);
            }
            if (hub != null) {
                hub.heard(name, link, frame, now());
            }
        }

        @Override
        public void edgeGone(String name, Link link) {
            edges.gone(link);
            if (hub != null) {
                hub.parted(name, link, now());
            }
        }
    }
}
