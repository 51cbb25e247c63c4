package brambletray.platform.drill;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/** Plays the courses of a {@link DrillPlan}, on as many threads as it says, and shrinks those that break. */
public final class DrillRunner {
    private final DrillPlan plan;
    private final Consumer<DrillReport> progress;
    private final DrillReport report;
    private final AtomicLong nextSeed;

    private DrillRunner(DrillPlan plan, Consumer<DrillReport> progress) {
        this.plan = plan;
        this.progress = progress;
        report = new DrillReport(plan);
        nextSeed = new AtomicLong(plan.firstSeed());
    }

    /**
     * Returns when all scenarios have been played; {@code progress} is called after each, by one thread at a time.
     */
    public static DrillReport run(DrillPlan plan, Consumer<DrillReport> progress) {
        return new DrillRunner(plan, progress).run();
    }

    private DrillReport run() {
        ExecutorService executor = Executors.newFixedThreadPool(plan.threads());
        try {
            List<Future<?>> workers = new ArrayList<>();
            for (int i = 0; i < plan.threads(); i++) {
                workers.add(executor.submit(this::playUntilDone));
            }
            for (Future<?> worker : workers) {
                await(worker);
            }
        } finally {
            executor.shutdownNow();
        }
        return report;
    }

    private static void await(Future<?> worker) {
        try {
            worker.get();
        } catch (ExecutionException e) {
            throw new IllegalStateException("a course could not be played", e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }

    private void playUntilDone() {
        long end = plan.firstSeed() + plan.courses();
        for (long seed = nextSeed.getAndIncrement(); seed < end; seed = nextSeed.getAndIncrement()) {
            Scenario.Result result = Scenario.play(plan.script(seed), null);
            boolean shrinks = plan.shrink() && result.broken() != null;
            Scenario.Result shortest = shrinks ? ScenarioShrinker.shrink(result) : null;
            synchronized (report) {
                report.add(result, shortest);
                progress.accept(report);
            }
        }
    }
}
