package brambletray.platform.localsystem;

import brambletray.common.runtime.Machine;
import brambletray.platform.configuration.Configuration;
import brambletray.platform.settings.Address;
import brambletray.platform.transport.Sockets;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Starts the whole system on this machine, sends it requests at a low rate and prints the results second by second.
 * Limited in time; its processes are ended by their handles.
 */
public final class LocalSystem {
    /** ms for the processes to come up and take the configuration; for the last requests to end. */
    private static final int START_MS = 40_000;

    private static final int REST_MS = 7_000;

    private static final int CALL_MS = 5_000;
    private static final long SEED = 7;

    private final LocalRunPlan plan;
    private final PrintStream out;
    private final Machine machine = Sockets.machine();
    private final Path dir;
    private final LocalSite site;
    private final Configuration configuration = SampleConfiguration.configuration();
    private final ExecutionLedger ledger = new ExecutionLedger();
    private final RequestCounts counts = new RequestCounts();
    private final RequestCounts all = new RequestCounts();
    private final LocalPlatform platform;
    private final FrontEndBalancer fronts;
    private final TrafficGenerator trafficGenerator;
    private final List<ChildProcess> children = new ArrayList<>();
    private final MemberStatusPoller statusPoller;

    private LocalSystem(LocalRunPlan plan, PrintStream out) {
        this.plan = plan;
        this.out = out;
        dir = RunDirectory.dir(plan.dir());
        site = LocalSite.of(plan.cores(), plan.edges(), RunDirectory.ports(), dir);
        platform = new LocalPlatform(
                machine, site, configuration, ledger, plan.load().workMs());
        fronts = new FrontEndBalancer(site.edges());
        trafficGenerator = new TrafficGenerator(
                machine,
                site,
                fronts,
                configuration.routes(),
                ledger,
                counts,
                plan.load().leavePercent(),
                SEED);
        statusPoller = new MemberStatusPoller(new OperatorClient(site.controls(), CALL_MS), site.controls());
        site.specs().forEach(spec -> children.add(new ChildProcess(site, spec, this::print)));
    }

    /**
     * Plays it; 0: all as it must be, 1: a request was answered wrongly or ran twice, or the system did not come up.
     */
    public static int run(LocalRunPlan plan, PrintStream out) {
        LocalSystem system = new LocalSystem(plan, out);
        Thread hook = new Thread(() -> {
            system.children.forEach(child -> child.await(0));
            system.tidy();
        });
        Runtime.getRuntime().addShutdownHook(hook);
        try {
            return system.play();
        } finally {
            system.end();
            Runtime.getRuntime().removeShutdownHook(hook);
        }
    }

    private int play() {
        print(site.cores().size() + " controlplane and " + site.edges().size()
                + " edge come up; settings, disks and logs in " + dir);
        print("operators call --control "
                + String.join(
                        ",", site.controls().stream().map(Address::toString).toList()));
        platform.open(site.platform());
        children.forEach(ChildProcess::start);
        machine.loop().scheduleAtFixedRate(this::probe, 0, 1, TimeUnit.SECONDS);
        long began = now();
        OperatorClient.Reply taken =
                new OperatorClient(site.controls(), START_MS).deliver("replace", 0, SampleConfiguration.body());
        if (taken.status() != 200) {
            print("the configuration was answered " + taken.status() + ' ' + JsonValues.reason(taken.body()));
            return 1;
        }
        while (onLoop(fronts::in) < site.edges().size()) {
            if (now() - began > START_MS) {
                print("not all edges are ready after " + START_MS / 1_000 + " s; see the logs in " + dir);
                return 1;
            }
            until(now() + 50);
        }
        print("the configuration is in force at all edges, " + (now() - began) + " ms after the start");
        traffic();
        return summary();
    }

    private void traffic() {
        out.println(RequestCounts.head());
        long began = now();
        machine.loop().execute(() -> trafficGenerator.begin(plan.load().rate()));
        for (int second = 0; second < plan.seconds(); second++) {
            statusPoller.ask();
            for (LocalRunPlan.Kill kill : plan.kills()) {
                if (kill.at() == second) {
                    kill(kill.name().equals(LocalRunPlan.COORDINATOR) ? statusPoller.coordinator() : kill.name());
                }
            }
            until(began + (second + 1) * 1_000L);
            int number = second + 1;
            out.println(onLoop(() -> line(number)));
        }
        machine.loop().execute(trafficGenerator::stop);
        long rest = now();
        while (onLoop(trafficGenerator::underWay) > 0 && now() - rest < REST_MS) {
            until(now() + 20);
        }
        onLoop(() -> {
            all.add(counts.turn());
            return all;
        });
    }

    private void kill(String name) {
        print(name == null ? "nobody holds the helm" : name + " is killed");
        children.stream().filter(child -> child.spec().name().equals(name)).forEach(ChildProcess::kill);
    }

    private String line(int second) {
        RequestCounts past = counts.turn();
        all.add(past);
        return past.line(second, platform.instances.up(), statusPoller.view(), statusPoller.coordinator());
    }

    private int summary() {
        String shown;
        try {
            shown = "revision "
                    + JsonValues.number(
                            JsonValues.object(new OperatorClient(site.controls(), CALL_MS)
                                    .show()
                                    .body()),
                            "revision");
        } catch (LocalSystemException fault) {
            shown = fault.getMessage();
        }
        print("in all: " + all.requests + " requests, " + all.answered + " answered, " + all.late + " late, "
                + all.refused + " refused, "
                + all.failed + " failed; " + onLoop(platform::starts) + " starts of hosts, "
                + onLoop(platform.instances::turnedAway)
                + " requests beyond their places, " + onLoop(platform::refusals) + " calls beyond the rate");
        print("the operator is shown " + shown);
        int wrong = onLoop(ledger::wrong);
        int twice = onLoop(ledger::twice);
        print(wrong + " answered wrongly, " + twice + " ran twice that may not"
                + (wrong + twice == 0 ? ": all as it must be" : ""));
        onLoop(() -> List.copyOf(ledger.complaints())).forEach(complaint -> out.println("    " + complaint));
        return wrong + twice == 0 && departedClientsWereLeftAlone() ? 0 : 1;
    }

    /** Prints what became of the work for clients that disconnected early; not judged if an edge was killed. */
    private boolean departedClientsWereLeftAlone() {
        if (plan.load().leavePercent() == 0) {
            return true;
        }
        DepartedClients.Summary summary = onLoop(() -> ledger.departedClients().summary());
        boolean accepted = summary.holds() || plan.killsAnEdge();
        print(summary + (accepted ? "" : ": work goes on for clients that left, or was broken off"));
        return accepted;
    }

    private void probe() {
        for (LocalSite.ProcessSpec edge : site.edges()) {
            statusPoller.ready(
                    new Address(edge.ip(), site.ports().readiness()),
                    ready -> machine.loop().execute(() -> fronts.heard(edge.name(), ready)));
        }
    }

    private void end() {
        children.forEach(ChildProcess::end);
        children.forEach(child -> child.await(LocalSite.GRACE_S * 1_000L + 500));
        onLoop(() -> {
            platform.end();
            return 0;
        });
        machine.loop().parent().shutdownGracefully(0, 500, TimeUnit.MILLISECONDS);
        tidy();
    }

    private void tidy() {
        if (plan.dir() == null) {
            RunDirectory.remove(dir);
        }
    }

    private void print(String line) {
        out.println("-- " + line);
    }

    private <T> T onLoop(Callable<T> what) {
        return machine.loop().submit(what).awaitUninterruptibly().getNow();
    }

    private void until(long at) {
        for (long left = at - now(); left > 0; left = at - now()) {
            LockSupport.parkNanos(left * 1_000_000);
        }
    }

    private long now() {
        return machine.clock().nanos() / 1_000_000;
    }
}
