package brambletray.relay.check;

import brambletray.common.runtime.Machine;
import brambletray.common.simulation.Simulation;
import brambletray.relay.emulator.Endpoint;
import brambletray.relay.script.Script;
import io.netty.channel.ChannelFuture;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

/**
 * Holds what callers measure at each emulated endpoint, phase by phase, beside what the script says: in
 * simulated time, and on real sockets in real time.
 */
public final class EmulatorCheck {
    /** What the wire may add whatever the bound: ms of latency, calls in hand, and calls refused or not. */
    private static final double LATENCY_FLOOR = 3;

    private static final double HELD_FLOOR = 0.06;
    private static final double CALLS_FLOOR = 1.5;
    /** How long after the script's end calls may still end; ns. */
    private static final long AFTER = 30_000_000_000L;

    private final Plan plan;
    private final PrintStream out;
    private final List<List<Sample>> scripted;

    public EmulatorCheck(Script script, PrintStream out) {
        this(script, script, out);
    }

    /** {@code played}: what the wire gets, where that is to be another script. */
    EmulatorCheck(Script script, Script played, PrintStream out) {
        this.plan = new Plan(played);
        this.out = out;
        this.scripted = new Model(new Plan(script)).play();
    }

    /** Plays it in simulated time; returns how many figures are off. */
    public int simulated() {
        Simulation simulation = new Simulation(plan.script().seed(), 1_900_000_000_000L);
        InetAddress home = InetAddress.getLoopbackAddress();
        WireRun run = new WireRun(simulation.machine(home), plan);
        int[] port = {10_000};
        run.listen(endpoint -> new InetSocketAddress(home, ++port[0]));
        simulation.runUntil(0);
        run.begin();
        simulation.runUntil(plan.script().length() + AFTER, run::over);
        return report("simulated time", run.samples());
    }

    /** Plays it on loopback sockets in real time; returns how many figures are off. */
    public int real() throws InterruptedException, ExecutionException {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            WireRun run = new WireRun(Machine.real(group.next()), plan);
            List<ChannelFuture> bound = group.submit(
                            () -> run.listen(endpoint -> new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)))
                    .get();
            for (ChannelFuture future : bound) {
                future.get();
            }
            group.submit(run::begin).get();
            CompletableFuture<List<List<Sample>>> ended = new CompletableFuture<>();
            group.next()
                    .scheduleAtFixedRate(
                            () -> {
                                if (run.over()
                                        || run.front().now() > plan.script().length() + AFTER) {
                                    ended.complete(new ArrayList<>(run.samples()));
                                }
                            },
                            100,
                            100,
                            TimeUnit.MILLISECONDS);
            List<List<Sample>> samples = ended.get();
            group.submit(run::close).get();
            return report("real time", samples);
        } finally {
            group.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS).awaitUninterruptibly();
        }
    }

    private int report(String how, List<List<Sample>> measured) {
        out.printf(
                Locale.ROOT,
                "%s, %s, %.0f calls a second to each endpoint; scripted / measured, bound %.1f %%%n",
                plan.script().name(),
                how,
                plan.script().check().perSecond(),
                plan.script().check().boundPercent());
        out.printf(
                "%-12s %13s %6s %15s %15s %15s %15s %15s %15s%n",
                "endpoint", "phase s", "calls", "in hand", "mean ms", "50 % ms", "95 % ms", "99 % ms", "refused %");
        int off = 0;
        List<Endpoint> endpoints = plan.world().endpoints();
        for (int e = 0; e < endpoints.size(); e++) {
            List<Long> phases = plan.phases(endpoints.get(e));
            for (int p = 0; p + 1 < phases.size(); p++) {
                Figures a = Figures.of(scripted.get(e), phases.get(p), phases.get(p + 1));
                Figures b = Figures.of(measured.get(e), phases.get(p), phases.get(p + 1));
                Row row = new Row(a.calls());
                String cells = row.cell(a.inHand(), b.inHand(), HELD_FLOOR)
                        + row.cell(a.mean(), b.mean(), LATENCY_FLOOR)
                        + row.cell(a.p50(), b.p50(), LATENCY_FLOOR)
                        + row.cell(a.p95(), b.p95(), LATENCY_FLOOR)
                        + row.cell(a.p99(), b.p99(), LATENCY_FLOOR)
                        + row.cell(100 * a.refused(), 100 * b.refused(), 100 * CALLS_FLOOR / Math.max(1, a.calls()));
                row.cell(100 * a.wrong(), 100 * b.wrong(), 100 * CALLS_FLOOR / Math.max(1, a.calls()));
                off += row.off;
                out.printf(
                        Locale.ROOT,
                        "%-12s %6.1f-%6.1f %6d%s%s%n",
                        endpoints.get(e).name(),
                        phases.get(p) / 1e9,
                        phases.get(p + 1) / 1e9,
                        a.calls(),
                        cells,
                        row.off > 0 ? "  OFF" : "");
            }
        }
        out.println(off == 0 ? "all within the bound" : off + " figures are off");
        return off;
    }

    /** One line: counts what is further apart than the bound and the floor allow. */
    private final class Row {
        private final int calls;
        private int off;

        Row(int calls) {
            this.calls = calls;
        }

        String cell(double scripted, double measured, double floor) {
            double bound = plan.script().check().boundPercent() / 100;
            if (calls > 0 && Math.abs(measured - scripted) > Math.max(floor, bound * scripted)) {
                off++;
            }
            return String.format(Locale.ROOT, " %7.2f/%7.2f", scripted, measured);
        }
    }
}
