package brambletray.tray.drill;

import brambletray.simulation.SimChannel;
import brambletray.simulation.SimNetwork;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Plays one script. */
final class Course {
    /**
     * ms for which orders go on after the last trouble; after which all must have come to an end; and for the last
     * readings.
     */
    private static final int CALM = 9_000;

    private static final int END = 20_000;
    private static final int READ = 15_000;

    private static final int LOOK = 50;

    /** {@code broken}: null, or the rule and why. {@code trace}: a hash of all that passed on the network. */
    record Result(
            Script script,
            String broken,
            int orders,
            int acknowledged,
            int refused,
            int resent,
            int reads,
            long longestSettled,
            long longest,
            int left,
            int cutShort,
            long trace,
            List<String> faults) {}

    private final World world;
    private final Book book;
    private final Operators operators;
    private final Script script;
    private int newcomers;
    private boolean over;

    private Course(Script script) {
        this.script = script;
        world = new World(script);
        book = new Book(world);
        world.whenFailed = why -> book.fail("RIG", why);
        operators = new Operators(world, book);
    }

    /** {@code lines}: takes log lines of all processes, or null. */
    static Result play(Script script, Consumer<String> lines) {
        Course course = new Course(script);
        try (LogTap tap = new LogTap(course.world, lines)) {
            return course.play(tap);
        }
    }

    private Result play(LogTap tap) {
        for (CoreNode core : world.cores) {
            world.at(world.random.nextInt(300), core::start);
        }
        for (EdgeNode edge : world.edges) {
            world.at(world.random.nextInt(300), edge::start);
        }
        operators.begin();
        look();
        for (Trouble trouble : script.troubles()) {
            world.at(trouble.at() - 2, operators::orderNow);
            world.at(trouble.at(), () -> begin(trouble));
            world.at(trouble.at() + 1, operators::orderNow);
            world.at(trouble.at() + trouble.span(), operators::orderNow);
        }
        until(script.endMs());
        world.at(script.endMs(), this::heal);
        until(script.endMs() + CALM);
        operators.end();
        if (!until(script.endMs() + END, () -> !operators.busy())) {
            book.fail("UNENDED", "an errand has not come to an end");
        }
        int[] last = {-1, 0};
        operators.last(order -> {
            last[0] = order;
            last[1]++;
        });
        if (!until(world.now() + READ, () -> last[1] == operators.count())) {
            book.fail("NOT-SHOWN", "no answer to " + (operators.count() - last[1]) + " of the last readings");
        }
        if (book.broken() == null) {
            book.end(last[0]);
        }
        world.cores.forEach(core -> core.kill(false));
        world.edges.forEach(EdgeNode::kill);
        return new Result(
                script,
                book.broken(),
                book.made(),
                book.acknowledged,
                book.refused,
                book.resent,
                book.reads,
                book.longestSettled,
                book.longest,
                world.left,
                world.cutShort,
                world.simulation.trace(),
                tap.faults());
    }

    private void look() {
        book.look();
        world.after(LOOK, this::look);
    }

    private void until(long ms) {
        until(ms, () -> false);
    }

    /** True when it holds by then. */
    private boolean until(long ms, java.util.function.BooleanSupplier holds) {
        world.simulation.runUntil(ms * 1_000_000, () -> book.broken() != null || holds.getAsBoolean());
        return book.broken() != null || holds.getAsBoolean();
    }

    private void heal() {
        over = true;
        operators.whenAcknowledged(null);
        for (CoreNode core : world.cores) {
            core.freeze(false);
            core.disk.full = false;
            core.disk.hungUntil = 0;
            core.disk.syncMs = world.syncMs;
            core.start();
        }
        for (EdgeNode edge : world.edges) {
            edge.freeze(false);
            edge.start();
        }
        List.copyOf(undo).forEach(Runnable::run);
        world.disturb();
    }

    /** What ends the cuts that are in force. */
    private final List<Runnable> undo = new ArrayList<>();

    private void later(int span, Runnable what) {
        Runnable[] once = new Runnable[1];
        once[0] = () -> {
            if (undo.remove(once[0])) {
                what.run();
            }
        };
        undo.add(once[0]);
        world.after(span, once[0]);
    }

    // ---- Troubles -------------------------------------------------------------------------------
    private CoreNode target(Trouble trouble) {
        CoreNode found = trouble.who() == Trouble.Who.LEADER
                ? world.leader()
                : trouble.who() == Trouble.Who.HELM ? world.helm() : null;
        return found != null ? found : world.cores.get(trouble.arg() % world.cores.size());
    }

    private void begin(Trouble trouble) {
        if (over) {
            return;
        }
        CoreNode core = target(trouble);
        EdgeNode edge = world.edges.get(trouble.arg() % world.edges.size());
        tell(trouble, core, edge);
        // of each three cuts one meets an edge that starts meanwhile
        int starts = trouble.arg() / 64 % 3 == 0 ? trouble.arg() : 0;
        switch (trouble.kind()) {
            case CUT_CORE -> cut(core, trouble.span(), true, true, List.of(), starts);
            case CUT_ALL -> cut(core, trouble.span(), true, true, outside(trouble.arg()), starts);
            case CUT_OUT -> cut(core, trouble.span(), true, false, List.of(), starts);
            case CUT_IN -> cut(core, trouble.span(), false, true, List.of(), starts);
            case KILL -> {
                core.kill(false);
                back(core, trouble.span());
            }
            case POWER -> {
                core.kill(true);
                back(core, trouble.span());
            }
            case WIPE -> {
                core.wipe();
                back(core, trouble.span());
            }
            case REPLACE -> {
                if (trouble.arg() % 2 == 0) {
                    int boot = core.boot();
                    core.terminate();
                    world.after(Script.GRACE, () -> core.graceOver(boot, true));
                } else {
                    core.kill(true);
                }
                remove(core);
                world.after(trouble.span(), this::newcomer);
            }
            case REPLACE_PLANNED -> {
                newcomer();
                world.after(trouble.span(), () -> {
                    int boot = core.boot();
                    core.terminate();
                    world.after(Script.GRACE, () -> core.graceOver(boot, false));
                    remove(core);
                });
            }
            case LEAVE -> {
                int boot = core.boot();
                core.terminate();
                world.after(Script.GRACE, () -> {
                    core.graceOver(boot, false);
                    back(core, trouble.span());
                });
            }
            case FREEZE -> {
                core.freeze(true);
                world.after(trouble.span(), () -> core.freeze(false));
            }
            case RESET -> {
                world.disturb();
                world.simulation.network().at(core.address).forEach(SimChannel::breakBoth);
            }
            case SLOW_LINK -> {
                boolean within = trouble.arg() / 1_024 % 2 == 1;
                slow(core, 100 + trouble.arg() % 700, within);
                later(trouble.span(), () -> slow(core, 0, within));
            }
            case ANSWERS_LOST -> {
                world.troubledLinks++;
                later(trouble.span(), () -> world.troubledLinks--);
                for (InetAddress operator : outside(-1)) {
                    cutPair(core.address, operator, trouble.span(), true, false);
                }
            }
            case SLOW_DISK -> {
                core.disk.syncMs = 50 + trouble.arg() % 1_500;
                later(trouble.span(), () -> core.disk.syncMs = world.syncMs);
            }
            case HUNG_DISK -> core.disk.hungUntil = world.simulation.clock().nanos() / 1_000_000 + trouble.span();
            case FULL_DISK -> {
                core.disk.full = true;
                later(trouble.span(), () -> core.disk.full = false);
            }
            case AFTER_ACK_KILL -> operators.whenAcknowledged(member -> afterAck(member, trouble, false));
            case AFTER_ACK_WIPE -> operators.whenAcknowledged(member -> afterAck(member, trouble, true));
            case AFTER_ACK_ALL ->
                operators.whenAcknowledged(member -> {
                    if (!over) {
                        // not within the call that brings the answer
                        world.director.loop().execute(() -> all(trouble));
                    }
                });
            case ALL_KILL, ALL_POWER -> all(trouble);
            case EDGE_KILL -> {
                edge.kill();
                world.after(trouble.span(), edge::start);
            }
            case EDGE_FREEZE -> {
                edge.freeze(true);
                world.after(trouble.span(), () -> edge.freeze(false));
            }
            case EDGE_CUT -> {
                cutPair(edge.address, core.address, trouble.span(), true, true);
            }
            case BURST -> operators.any(trouble.arg()).burst = trouble.span();
            default -> throw new IllegalStateException();
        }
    }

    private void tell(Trouble trouble, CoreNode core, EdgeNode edge) {
        LogTap.note(world, trouble + " meets " + core.name + " or " + edge.name);
    }

    private void back(CoreNode core, int span) {
        int boot = core.boot();
        world.after(span, () -> {
            if (core.boot() == boot && world.cores.contains(core)) {
                core.start();
            }
        });
    }

    private void remove(CoreNode core) {
        if (world.cores.remove(core)) {
            world.unlisted(core.control());
            world.disturb();
        }
    }

    private void newcomer() {
        if (over && newcomers >= 4) {
            return;
        }
        newcomers++;
        CoreNode core = new CoreNode(world, 20 + newcomers, false);
        world.cores.add(core);
        core.start();
    }

    private void afterAck(String member, Trouble trouble, boolean wipe) {
        CoreNode core = world.at(member);
        if (core == null || over) {
            return;
        }
        // not within the call that brings the answer
        world.director.loop().execute(() -> {
            if (wipe) {
                core.wipe();
            } else {
                core.kill(true);
            }
            back(core, trouble.span());
        });
    }

    private void all(Trouble trouble) {
        int wiped = trouble.arg() / 8 % 2 == 0 ? 0 : script.losses();
        List<CoreNode> cores = new ArrayList<>(world.cores);
        for (int i = 0; i < cores.size(); i++) {
            CoreNode core = cores.get((i + trouble.arg()) % cores.size());
            if (i < wiped) {
                core.wipe();
            } else {
                core.kill(trouble.kind() != Trouble.Kind.ALL_KILL);
            }
            back(core, trouble.span() + world.random.nextInt(300));
        }
        world.disturb(World.CONTACT);
    }

    /** Operators, and of the edges those whose bit is not set. */
    private List<InetAddress> outside(int drawn) {
        List<InetAddress> cutOff = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            cutOff.add(World.ip(10, 9, 0, i));
        }
        for (int i = 0; i < world.edges.size(); i++) {
            if ((drawn >> 4 + i & 1) == 0) {
                cutOff.add(world.edges.get(i).address);
            }
        }
        return cutOff;
    }

    /** {@code ms}: that the links of this machine take longer; 0: as usual; {@code within}: only those to the core. */
    private void slow(CoreNode core, int ms, boolean within) {
        world.troubledLinks += ms > 0 ? 1 : -1;
        List<InetAddress> others = within ? new ArrayList<>() : outside(0);
        world.cores.forEach(other -> others.add(other.address));
        for (InetAddress other : others) {
            SimNetwork.Way way = ms > 0 ? new SimNetwork.Way(ms * 1_000_000L, 0.5) : World.USUAL;
            world.simulation.network().way(core.address, other, way);
            world.simulation.network().way(other, core.address, way);
        }
    }

    private void cut(CoreNode core, int span, boolean out, boolean in, List<InetAddress> further, int edgeRestarts) {
        for (CoreNode other : world.cores) {
            if (other != core) {
                cutPair(core.address, other.address, span, out, in);
            }
        }
        for (InetAddress other : further) {
            cutPair(core.address, other, span, true, true);
        }
        world.disturb();
        world.after(span, world::disturb);
        if (edgeRestarts > 0) {
            EdgeNode edge = world.edges.get(edgeRestarts % world.edges.size());
            world.after(span / 4, edge::kill);
            world.after(span / 2, edge::start);
        }
    }

    private void cutPair(InetAddress one, InetAddress other, int span, boolean out, boolean in) {
        if (out) {
            world.cut(one, other);
        }
        if (in) {
            world.cut(other, one);
        }
        later(span, () -> {
            if (out) {
                world.join(one, other);
            }
            if (in) {
                world.join(other, one);
            }
        });
    }
}
