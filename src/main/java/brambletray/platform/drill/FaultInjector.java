package brambletray.platform.drill;

import java.util.ArrayList;
import java.util.List;

/** Brings about the troubles of a course, and ends them. */
final class FaultInjector {
    private static final int NEWCOMERS_AFTER_END = 4;
    /** Numbers of newcomers begin above those of all founders. */
    private static final int NEWCOMER_NUMBER = 20;

    private final World world;
    private final Operators operators;
    private final NetworkFaults network;
    private int newcomers;
    private boolean over;

    FaultInjector(World world, Operators operators) {
        this.world = world;
        this.operators = operators;
        network = new NetworkFaults(world);
    }

    /** Ends all troubles: all machines run and reach each other. */
    void heal() {
        over = true;
        operators.whenAcknowledged(null);
        for (CoreNode core : world.cores) {
            core.freeze(false);
            core.disk.refusesWrites = false;
            core.disk.hungUntilMs = 0;
            core.disk.syncMs = world.syncMs;
            core.start();
        }
        for (EdgeNode edge : world.edges) {
            edge.freeze(false);
            edge.start();
        }
        network.heal();
        world.disturb();
        world.note(Timeline.OPERATORS, "all troubles end");
    }

    /** Begins a trouble; tells whom it meets. */
    String begin(Trouble trouble) {
        if (over) {
            return trouble + " comes after the end";
        }
        CoreNode core = target(trouble);
        EdgeNode edge = world.edges.get(trouble.arg() % world.edges.size());
        begin(trouble, core, edge);
        return trouble + " meets " + core.name + " or " + edge.name;
    }

    private CoreNode target(Trouble trouble) {
        CoreNode found = switch (trouble.who()) {
            case LEADER -> world.leader();
            case COORDINATOR -> world.coordinator();
            case ANY -> null;
        };
        return found != null ? found : world.cores.get(trouble.arg() % world.cores.size());
    }

    private void begin(Trouble trouble, CoreNode core, EdgeNode edge) {
        note(trouble, core, edge);
        switch (trouble.kind()) {
            case CUT_CORE, CUT_ALL, CUT_OUT, CUT_IN -> cut(core, trouble);
            case KILL, POWER, WIPE -> stop(core, trouble);
            case REPLACE -> replace(core, trouble);
            case REPLACE_PLANNED -> replaceAsPlanned(core, trouble.span());
            case LEAVE -> leave(core, trouble.span());
            case FREEZE -> {
                core.freeze(true);
                world.after(trouble.span(), () -> core.freeze(false));
            }
            case RESET -> network.reset(core);
            case SLOW_LINK -> network.slow(core, 100 + trouble.arg() % 700, slowWithin(trouble), trouble.span());
            case ANSWERS_LOST -> network.loseAnswers(core, trouble.span());
            case SLOW_DISK, HUNG_DISK, FULL_DISK -> disk(core, trouble);
            case AFTER_ACK_KILL, AFTER_ACK_WIPE ->
                operators.whenAcknowledged(member -> afterAcknowledgement(member, trouble));
            case AFTER_ACK_ALL -> operators.whenAcknowledged(member -> allAfterAcknowledgement(trouble));
            case ALL_KILL, ALL_POWER -> stopAll(trouble);
            case EDGE_KILL -> {
                edge.kill();
                world.after(trouble.span(), edge::start);
            }
            case EDGE_FREEZE -> {
                edge.freeze(true);
                world.after(trouble.span(), () -> edge.freeze(false));
            }
            case EDGE_CUT -> network.cut(edge.address, core.address, trouble.span(), NetworkFaults.Direction.BOTH);
            case BURST -> operators.any(trouble.arg()).burst = trouble.span();
        }
    }

    /** Puts on the timeline what no process's own start or end tells. */
    private void note(Trouble trouble, CoreNode core, EdgeNode edge) {
        String text = trouble.kind() + " " + trouble.span();
        switch (trouble.kind()) {
            case AFTER_ACK_KILL, AFTER_ACK_WIPE, AFTER_ACK_ALL, ALL_KILL, ALL_POWER, BURST ->
                world.note(Timeline.OPERATORS, text);
            case EDGE_KILL, EDGE_FREEZE -> world.note(edge.name, text);
            case EDGE_CUT -> world.note(edge.name, text + " from " + core.name);
            default -> world.note(core.name, text);
        }
    }

    private static boolean slowWithin(Trouble trouble) {
        return trouble.arg() / 1_024 % 2 == 1;
    }

    private void cut(CoreNode core, Trouble trouble) {
        int span = trouble.span();
        NetworkFaults.Direction direction = switch (trouble.kind()) {
            case CUT_OUT -> NetworkFaults.Direction.OUT;
            case CUT_IN -> NetworkFaults.Direction.IN;
            default -> NetworkFaults.Direction.BOTH;
        };
        network.cutFromCore(core, span, direction);
        if (trouble.kind() == Trouble.Kind.CUT_ALL) {
            network.cutFromOutside(core, span, trouble.arg());
        }
        world.disturb();
        world.after(span, () -> {
            world.note(core.name, trouble.kind() + " ends");
            world.disturb();
        });
        // of each three cuts one meets an edge that starts meanwhile
        if (trouble.arg() / 64 % 3 == 0 && trouble.arg() > 0) {
            EdgeNode edge = world.edges.get(trouble.arg() % world.edges.size());
            world.after(span / 4, edge::kill);
            world.after(span / 2, edge::start);
        }
    }

    private void stop(CoreNode core, Trouble trouble) {
        if (trouble.kind() == Trouble.Kind.WIPE) {
            core.wipe();
        } else {
            core.kill(trouble.kind() == Trouble.Kind.POWER);
        }
        back(core, trouble.span());
    }

    private void replace(CoreNode core, Trouble trouble) {
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

    private void replaceAsPlanned(CoreNode core, int span) {
        newcomer();
        world.after(span, () -> {
            int boot = core.boot();
            core.terminate();
            world.after(Script.GRACE, () -> core.graceOver(boot, false));
            remove(core);
        });
    }

    private void leave(CoreNode core, int span) {
        int boot = core.boot();
        core.terminate();
        world.after(Script.GRACE, () -> {
            core.graceOver(boot, false);
            back(core, span);
        });
    }

    private void disk(CoreNode core, Trouble trouble) {
        int span = trouble.span();
        switch (trouble.kind()) {
            case SLOW_DISK -> {
                core.disk.syncMs = 50 + trouble.arg() % 1_500;
                network.later(span, () -> core.disk.syncMs = world.syncMs);
            }
            case HUNG_DISK -> core.disk.hungUntilMs = world.simulation.clock().nanos() / 1_000_000 + span;
            default -> {
                core.disk.refusesWrites = true;
                network.later(span, () -> core.disk.refusesWrites = false);
            }
        }
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
        if (over && newcomers >= NEWCOMERS_AFTER_END) {
            return;
        }
        newcomers++;
        CoreNode core = new CoreNode(world, NEWCOMER_NUMBER + newcomers, false);
        world.cores.add(core);
        core.start();
    }

    private void afterAcknowledgement(String member, Trouble trouble) {
        CoreNode core = world.at(member);
        if (core == null || over) {
            return;
        }
        // not within the call that brings the answer
        world.director.loop().execute(() -> {
            if (trouble.kind() == Trouble.Kind.AFTER_ACK_WIPE) {
                core.wipe();
            } else {
                core.kill(true);
            }
            back(core, trouble.span());
        });
    }

    private void allAfterAcknowledgement(Trouble trouble) {
        if (!over) {
            // not within the call that brings the answer
            world.director.loop().execute(() -> stopAll(trouble));
        }
    }

    /** All machines, or all processes, at once; of each two times one with as many disks lost as may be. */
    private void stopAll(Trouble trouble) {
        int wiped = trouble.arg() / 8 % 2 == 0 ? 0 : world.script.losses();
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
}
