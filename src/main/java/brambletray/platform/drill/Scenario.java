package brambletray.platform.drill;

import java.util.List;
import java.util.function.Consumer;

/** Plays one script. */
final class Scenario {
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
            ScenarioScript script,
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

    private final SimulatedCluster cluster;
    private final DrillJudge judge;
    private final SimulatedOperators operators;
    private final ScenarioScript script;
    private final FaultInjector faultInjector;

    private Scenario(ScenarioScript script, Timeline timeline) {
        this.script = script;
        cluster = new SimulatedCluster(script);
        cluster.timeline = timeline;
        judge = new DrillJudge(cluster);
        cluster.whenFailed = why -> judge.fail("RIG", why);
        cluster.whenLeftEarly = why -> judge.fail("LEFT-EARLY", why);
        operators = new SimulatedOperators(cluster, judge);
        faultInjector = new FaultInjector(cluster, operators);
    }

    /** {@code lines}: takes log lines of all processes, or null. */
    static Result play(ScenarioScript script, Consumer<String> lines) {
        return play(script, lines, Timeline.none());
    }

    /** {@code timeline}: where to put what happens to each process. */
    static Result play(ScenarioScript script, Consumer<String> lines, Timeline timeline) {
        Scenario scenario = new Scenario(script, timeline);
        try (LogTap tap = new LogTap(scenario.cluster, lines)) {
            return scenario.play(tap);
        }
    }

    private Result play(LogTap tap) {
        for (CoreNode core : cluster.cores) {
            cluster.at(cluster.random.nextInt(300), core::start);
        }
        for (EdgeNode edge : cluster.edges) {
            cluster.at(cluster.random.nextInt(300), edge::start);
        }
        operators.begin();
        look();
        for (Fault fault : script.faults()) {
            cluster.at(fault.atMs() - 2, operators::orderNow);
            cluster.at(fault.atMs(), () -> {
                String met = faultInjector.begin(fault);
                tap.note(met);
            });
            cluster.at(fault.atMs() + 1, operators::orderNow);
            cluster.at(fault.atMs() + fault.durationMs(), operators::orderNow);
        }
        until(script.endMs());
        cluster.at(script.endMs(), faultInjector::heal);
        until(script.endMs() + CALM);
        operators.end();
        if (!until(script.endMs() + END, () -> !operators.busy())) {
            judge.fail("UNENDED", "an errand has not come to an end");
        }
        int[] last = {-1, 0};
        operators.last(request -> {
            last[0] = request;
            last[1]++;
        });
        if (!until(cluster.now() + READ, () -> last[1] == operators.count())) {
            judge.fail("NOT-SHOWN", "no answer to " + (operators.count() - last[1]) + " of the last readings");
        }
        if (judge.broken() == null) {
            judge.end(last[0]);
        }
        cluster.timeline = Timeline.none();
        cluster.cores.forEach(core -> core.kill(false));
        cluster.edges.forEach(EdgeNode::kill);
        return new Result(
                script,
                judge.broken(),
                judge.made(),
                judge.acknowledged,
                judge.refused,
                judge.resent,
                judge.reads,
                judge.longestSettled,
                judge.longest,
                cluster.left,
                cluster.cutShort,
                cluster.simulation.trace(),
                tap.faults());
    }

    private void look() {
        judge.look();
        if (cluster.timeline.records()) {
            cluster.cores.forEach(CoreNode::noteRole);
        }
        cluster.after(LOOK, this::look);
    }

    private void until(long ms) {
        until(ms, () -> false);
    }

    /** True when it holds by then. */
    private boolean until(long ms, java.util.function.BooleanSupplier holds) {
        cluster.simulation.runUntil(ms * 1_000_000, () -> judge.broken() != null || holds.getAsBoolean());
        return judge.broken() != null || holds.getAsBoolean();
    }
}
