package brambletray.platform.drill;

import java.util.ArrayList;
import java.util.List;

/** Brings about the troubles of a course, and ends them. */
final class FaultInjector {
    private static final int NEWCOMERS_AFTER_END = 4;
    /** Numbers of newcomers begin above those of all founders. */
    private static final int NEWCOMER_NUMBER = 20;

    private final SimulatedCluster cluster;
    private final SimulatedOperators operators;
    private final NetworkFaults network;
    private int newcomers;
    private boolean over;

    FaultInjector(SimulatedCluster cluster, SimulatedOperators operators) {
        this.cluster = cluster;
        this.operators = operators;
        network = new NetworkFaults(cluster);
    }

    /** Ends all troubles: all machines run and reach each other. */
    void heal() {
        over = true;
        operators.whenAcknowledged(null);
        for (CoreNode core : cluster.cores) {
            core.freeze(false);
            core.disk.refusesWrites = false;
            core.disk.hungUntilMs = 0;
            core.disk.syncMs = cluster.syncMs;
            core.start();
        }
        for (EdgeNode edge : cluster.edges) {
            edge.freeze(false);
            edge.start();
        }
        network.heal();
        cluster.disturb();
        cluster.note(Timeline.OPERATORS, "all troubles end");
    }

    /** Starts a fault; returns the processes that it affects. */
    String begin(Fault fault) {
        if (over) {
            return fault + " comes after the end";
        }
        CoreNode core = target(fault);
        EdgeNode edge = cluster.edges.get(fault.argument() % cluster.edges.size());
        begin(fault, core, edge);
        return fault + " meets " + core.name + " or " + edge.name;
    }

    private CoreNode target(Fault fault) {
        CoreNode found = switch (fault.target()) {
            case LEADER -> cluster.leader();
            case COORDINATOR -> cluster.coordinator();
            case ANY -> null;
        };
        return found != null ? found : cluster.cores.get(fault.argument() % cluster.cores.size());
    }

    private void begin(Fault fault, CoreNode core, EdgeNode edge) {
        note(fault, core, edge);
        switch (fault.kind()) {
            case CUT_CORE, CUT_ALL, CUT_OUT, CUT_IN -> cut(core, fault);
            case KILL, POWER, WIPE -> stop(core, fault);
            case REPLACE -> replace(core, fault);
            case REPLACE_PLANNED -> replaceAsPlanned(core, fault.durationMs());
            case LEAVE -> leave(core, fault.durationMs());
            case FREEZE -> {
                core.freeze(true);
                cluster.after(fault.durationMs(), () -> core.freeze(false));
            }
            case RESET -> network.reset(core);
            case SLOW_LINK -> network.slow(core, 100 + fault.argument() % 700, slowWithin(fault), fault.durationMs());
            case ANSWERS_LOST -> network.loseAnswers(core, fault.durationMs());
            case SLOW_DISK, HUNG_DISK, FULL_DISK -> disk(core, fault);
            case AFTER_ACK_KILL, AFTER_ACK_WIPE ->
                operators.whenAcknowledged(member -> afterAcknowledgement(member, fault));
            case AFTER_ACK_ALL -> operators.whenAcknowledged(member -> allAfterAcknowledgement(fault));
            case ALL_KILL, ALL_POWER -> stopAll(fault);
            case EDGE_KILL -> {
                edge.kill();
                cluster.after(fault.durationMs(), edge::start);
            }
            case EDGE_FREEZE -> {
                edge.freeze(true);
                cluster.after(fault.durationMs(), () -> edge.freeze(false));
            }
            case EDGE_CUT -> network.cut(edge.address, core.address, fault.durationMs(), NetworkFaults.Direction.BOTH);
            case BURST -> operators.any(fault.argument()).burst = fault.durationMs();
        }
    }

    /** Adds to the timeline what no start or end of a process shows. */
    private void note(Fault fault, CoreNode core, EdgeNode edge) {
        String text = fault.kind() + " " + fault.durationMs();
        switch (fault.kind()) {
            case AFTER_ACK_KILL, AFTER_ACK_WIPE, AFTER_ACK_ALL, ALL_KILL, ALL_POWER, BURST ->
                cluster.note(Timeline.OPERATORS, text);
            case EDGE_KILL, EDGE_FREEZE -> cluster.note(edge.name, text);
            case EDGE_CUT -> cluster.note(edge.name, text + " from " + core.name);
            default -> cluster.note(core.name, text);
        }
    }

    private static boolean slowWithin(Fault fault) {
        return fault.argument() / 1_024 % 2 == 1;
    }

    private void cut(CoreNode core, Fault fault) {
        int span = fault.durationMs();
        NetworkFaults.Direction direction = switch (fault.kind()) {
            case CUT_OUT -> NetworkFaults.Direction.OUT;
            case CUT_IN -> NetworkFaults.Direction.IN;
            default -> NetworkFaults.Direction.BOTH;
        };
        network.cutFromCore(core, span, direction);
        if (fault.kind() == Fault.Kind.CUT_ALL) {
            network.cutFromOutside(core, span, fault.argument());
        }
        cluster.disturb();
        cluster.after(span, () -> {
            cluster.note(core.name, fault.kind() + " ends");
            cluster.disturb();
        });
        // of each three cuts one meets an edge that starts meanwhile
        if (fault.argument() / 64 % 3 == 0 && fault.argument() > 0) {
            EdgeNode edge = cluster.edges.get(fault.argument() % cluster.edges.size());
            cluster.after(span / 4, edge::kill);
            cluster.after(span / 2, edge::start);
        }
    }

    private void stop(CoreNode core, Fault fault) {
        if (fault.kind() == Fault.Kind.WIPE) {
            core.wipe();
        } else {
            core.kill(fault.kind() == Fault.Kind.POWER);
        }
        back(core, fault.durationMs());
    }

    private void replace(CoreNode core, Fault fault) {
        if (fault.argument() % 2 == 0) {
            int boot = core.processNumber();
            core.terminate();
            cluster.after(ScenarioScript.GRACE, () -> core.graceOver(boot, true));
        } else {
            core.kill(true);
        }
        remove(core);
        cluster.after(fault.durationMs(), this::newcomer);
    }

    private void replaceAsPlanned(CoreNode core, int span) {
        newcomer();
        cluster.after(span, () -> {
            int boot = core.processNumber();
            core.terminate();
            cluster.after(ScenarioScript.GRACE, () -> core.graceOver(boot, false));
            remove(core);
        });
    }

    private void leave(CoreNode core, int span) {
        int boot = core.processNumber();
        core.terminate();
        cluster.after(ScenarioScript.GRACE, () -> {
            core.graceOver(boot, false);
            back(core, span);
        });
    }

    private void disk(CoreNode core, Fault fault) {
        int span = fault.durationMs();
        switch (fault.kind()) {
            case SLOW_DISK -> {
                core.disk.syncMs = 50 + fault.argument() % 1_500;
                network.later(span, () -> core.disk.syncMs = cluster.syncMs);
            }
            case HUNG_DISK -> core.disk.hungUntilMs = cluster.simulation.clock().nanos() / 1_000_000 + span;
            default -> {
                core.disk.refusesWrites = true;
                network.later(span, () -> core.disk.refusesWrites = false);
            }
        }
    }

    private void back(CoreNode core, int span) {
        int boot = core.processNumber();
        cluster.after(span, () -> {
            if (core.processNumber() == boot && cluster.cores.contains(core)) {
                core.start();
            }
        });
    }

    private void remove(CoreNode core) {
        if (cluster.cores.remove(core)) {
            cluster.unlisted(core.control());
            cluster.disturb();
        }
    }

    private void newcomer() {
        if (over && newcomers >= NEWCOMERS_AFTER_END) {
            return;
        }
        newcomers++;
        CoreNode core = new CoreNode(cluster, NEWCOMER_NUMBER + newcomers, false);
        cluster.cores.add(core);
        core.start();
    }

    private void afterAcknowledgement(String member, Fault fault) {
        CoreNode core = cluster.at(member);
        if (core == null || over) {
            return;
        }
        // not within the call that brings the answer
        cluster.director.loop().execute(() -> {
            if (fault.kind() == Fault.Kind.AFTER_ACK_WIPE) {
                core.wipe();
            } else {
                core.kill(true);
            }
            back(core, fault.durationMs());
        });
    }

    private void allAfterAcknowledgement(Fault fault) {
        if (!over) {
            // not within the call that brings the answer
            cluster.director.loop().execute(() -> stopAll(fault));
        }
    }

    /** All machines, or all processes, at once; of each two times one with as many disks lost as may be. */
    private void stopAll(Fault fault) {
        int wiped = fault.argument() / 8 % 2 == 0 ? 0 : cluster.script.losses();
        List<CoreNode> cores = new ArrayList<>(cluster.cores);
        for (int i = 0; i < cores.size(); i++) {
            CoreNode core = cores.get((i + fault.argument()) % cores.size());
            if (i < wiped) {
                core.wipe();
            } else {
                core.kill(fault.kind() != Fault.Kind.ALL_KILL);
            }
            back(core, fault.durationMs() + cluster.random.nextInt(300));
        }
        cluster.disturb(SimulatedCluster.CONTACT);
    }
}
