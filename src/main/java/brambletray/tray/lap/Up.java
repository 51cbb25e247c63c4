package brambletray.tray.lap;

import brambletray.runtime.Machine;
import brambletray.tray.berth.Address;
import brambletray.tray.creed.Creed;
import brambletray.tray.speech.Sockets;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Puts the whole system up on this machine, sends it a trickle of requests and shows second by second what becomes of
 * them. Bounded in time; its processes are ended by their handles.
 */
public final class Up {
    /** ms for the processes to come up and take the configuration; for the last requests to end. */
    private static final int START_MS = 40_000;

    private static final int REST_MS = 7_000;

    private static final int CALL_MS = 5_000;
    private static final long SEED = 7;

    private final Plan plan;
    private final PrintStream out;
    private final Machine machine = Sockets.machine();
    private final Path dir;
    private final Site site;
    private final Creed creed = Sample.creed();
    private final Ledger ledger = new Ledger();
    private final Counts counts = new Counts();
    private final Counts all = new Counts();
    private final Town town;
    private final Fronts fronts;
    private final Callers callers;
    private final List<Child> children = new ArrayList<>();
    private final Glance glance;

    private Up(Plan plan, PrintStream out) {
        this.plan = plan;
        this.out = out;
        dir = Folders.dir(plan.dir());
        site = Site.of(plan.cores(), plan.edges(), Folders.ports(), dir);
        town = new Town(machine, site, creed, ledger);
        fronts = new Fronts(site.edges());
        callers = new Callers(machine, site, fronts, creed.routes(), ledger, counts, SEED);
        glance = new Glance(new Operator(site.controls(), CALL_MS), site.controls());
        site.places().forEach(place -> children.add(new Child(site, place, this::tell)));
    }

    /**
     * Plays it; 0: all as it must be, 1: a request was answered wrongly or ran twice, or the system did not come up.
     */
    public static int run(Plan plan, PrintStream out) {
        Up up = new Up(plan, out);
        Thread hook = new Thread(() -> {
            up.children.forEach(child -> child.await(0));
            up.tidy();
        });
        Runtime.getRuntime().addShutdownHook(hook);
        try {
            return up.play();
        } finally {
            up.end();
            Runtime.getRuntime().removeShutdownHook(hook);
        }
    }

    private int play() {
        tell(site.cores().size() + " keep and " + site.edges().size() + " carry come up; settings, disks and logs in "
                + dir);
        tell("operators call --control "
                + String.join(
                        ",", site.controls().stream().map(Address::toString).toList()));
        town.open(site.platform());
        children.forEach(Child::start);
        machine.loop().scheduleAtFixedRate(this::probe, 0, 1, TimeUnit.SECONDS);
        long began = now();
        Operator.Reply taken = new Operator(site.controls(), START_MS).deliver("replace", 0, Sample.body());
        if (taken.status() != 200) {
            tell("the configuration was answered " + taken.status() + ' ' + Json.reason(taken.body()));
            return 1;
        }
        while (onLoop(fronts::in) < site.edges().size()) {
            if (now() - began > START_MS) {
                tell("not all edges are ready after " + START_MS / 1_000 + " s; see the logs in " + dir);
                return 1;
            }
            until(now() + 50);
        }
        tell("the configuration is in force at all edges, " + (now() - began) + " ms after the start");
        traffic();
        return summary();
    }

    private void traffic() {
        out.println(Counts.head());
        long began = now();
        machine.loop().execute(() -> callers.begin(plan.rate()));
        for (int second = 0; second < plan.seconds(); second++) {
            glance.ask();
            for (Plan.Kill kill : plan.kills()) {
                if (kill.at() == second) {
                    kill(kill.name().equals(Plan.HELM) ? glance.helm() : kill.name());
                }
            }
            until(began + (second + 1) * 1_000L);
            int number = second + 1;
            out.println(onLoop(() -> line(number)));
        }
        machine.loop().execute(callers::stop);
        long rest = now();
        while (onLoop(callers::underWay) > 0 && now() - rest < REST_MS) {
            until(now() + 20);
        }
        onLoop(() -> {
            all.add(counts.turn());
            return all;
        });
    }

    private void kill(String name) {
        tell(name == null ? "nobody holds the helm" : name + " is killed");
        children.stream().filter(child -> child.place().name().equals(name)).forEach(Child::kill);
    }

    private String line(int second) {
        Counts past = counts.turn();
        all.add(past);
        return past.line(second, town.fair.up(), glance.view(), glance.helm());
    }

    private int summary() {
        String shown;
        try {
            shown = "revision "
                    + Json.number(
                            Json.object(new Operator(site.controls(), CALL_MS)
                                    .show()
                                    .body()),
                            "revision");
        } catch (LapFault fault) {
            shown = fault.getMessage();
        }
        tell("in all: " + all.requests + " requests, " + all.answered + " answered, " + all.late + " late, "
                + all.refused + " refused, "
                + all.failed + " failed; " + onLoop(town::starts) + " starts of hosts, " + onLoop(town.fair::turnedAway)
                + " requests beyond their places, " + onLoop(town::refusals) + " calls beyond the rate");
        tell("the operator is shown " + shown);
        int wrong = onLoop(ledger::wrong);
        int twice = onLoop(ledger::twice);
        tell(wrong + " answered wrongly, " + twice + " ran twice that may not"
                + (wrong + twice == 0 ? ": all as it must be" : ""));
        onLoop(() -> List.copyOf(ledger.complaints())).forEach(complaint -> out.println("    " + complaint));
        return wrong + twice == 0 ? 0 : 1;
    }

    private void probe() {
        for (Site.Place edge : site.edges()) {
            glance.ready(
                    new Address(edge.ip(), site.ports().readiness()),
                    ready -> machine.loop().execute(() -> fronts.heard(edge.name(), ready)));
        }
    }

    private void end() {
        children.forEach(Child::end);
        children.forEach(child -> child.await(Site.GRACE_S * 1_000L + 500));
        onLoop(() -> {
            town.end();
            return 0;
        });
        machine.loop().parent().shutdownGracefully(0, 500, TimeUnit.MILLISECONDS);
        tidy();
    }

    private void tidy() {
        if (plan.dir() == null) {
            Folders.remove(dir);
        }
    }

    private void tell(String line) {
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
