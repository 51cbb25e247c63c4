package brambletray.relay.emulator;

import static org.junit.jupiter.api.Assertions.*;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The emulator against queueing theory: mean queue, wait and share of refusals within 2 per cent. */
class QueueTheoryTest {
    private static final double MEAN_MS = 10;

    private record Measured(double queued, double waitMs, double refused) {}

    private static Measured play(int servers, int places, Law law, double load, int calls, long seed) {
        PartnerSpec spec = Rig.with(Rig.plain(), servers, law, places, new Limit.None());
        World world = new World(List.of(spec), List.of(), new Quiet(), seed);
        Endpoint endpoint = world.endpoints().get(0);
        endpoint.sink(new Endpoint.Sink() {
            @Override
            public void answer(Call call, Answer answer) {}

            @Override
            public void reachChanged() {}
        });
        SplittableRandom random = new SplittableRandom(seed + 1);
        double at = 0;
        for (int i = 0; i < calls; i++) {
            at += -Math.log(1 - random.nextDouble()) * MEAN_MS * 1e6 / servers / load;
            endpoint.arrive((long) at, new Call("c", "m", null, false));
        }
        Tally t = endpoint.tally();
        return new Measured(t.meanQueued(), t.meanWait() / 1e6, t.refusedInAll() / (double) t.arrived);
    }

    /** Keeps nothing: these runs are about queues. */
    private static final class Quiet extends Ledger {
        Quiet() {
            super(0);
        }

        @Override
        void effect(long now, Call call, String endpoint) {}
    }

    private static void near(double theory, double measured, String what) {
        assertEquals(theory, measured, Math.max(0.0005, 0.02 * theory), what);
    }

    /** M/M/c/K: K places in all, those in service counted. */
    @ParameterizedTest
    @CsvSource({"1, 8, 0.5", "1, 8, 0.9", "1, 8, 1.2", "4, 16, 0.5", "4, 16, 0.9", "4, 16, 1.2"})
    void exponentialServersWithABoundedQueue(int c, int k, double load) {
        double a = load * c;
        double[] p = new double[k + 1];
        double sum = 0;
        for (int n = 0; n <= k; n++) {
            p[n] = n == 0 ? 1 : p[n - 1] * a / Math.min(n, c);
            sum += p[n];
        }
        double queue = 0;
        for (int n = c; n <= k; n++) {
            queue += (n - c) * p[n] / sum;
        }
        double refused = p[k] / sum;
        double arrivals = a / MEAN_MS;
        Measured m = play(c, k - c, new Law.Exponential(MEAN_MS * 1e6), load, 6_000_000, 1);
        near(queue, m.queued(), "mean queue");
        near(queue / (arrivals * (1 - refused)), m.waitMs(), "mean wait");
        near(refused, m.refused(), "share refused");
    }

    /** M/D/1: half the queue of exponential times. */
    @ParameterizedTest
    @CsvSource({"0.5, 1000000", "0.8, 2000000", "0.9, 5000000"})
    void constantServiceTimes(double load, int calls) {
        Measured m = play(1, 1_000_000, new Law.Constant(MEAN_MS * 1e6), load, calls, 2);
        near(load * load / (2 * (1 - load)), m.queued(), "mean queue");
        near(load * MEAN_MS / (2 * (1 - load)), m.waitMs(), "mean wait");
        assertEquals(0, m.refused());
    }

    /** Lognormal draws have the mean and the spread that the script names. */
    @ParameterizedTest
    @CsvSource({"0.3", "1.0"})
    void lognormalTimes(double cv) {
        Law law = new Law.LogNormal(1e6, cv);
        SplittableRandom random = new SplittableRandom(5);
        double sum = 0;
        double squares = 0;
        int n = 1_000_000;
        for (int i = 0; i < n; i++) {
            double t = law.draw(random) / 1e6;
            sum += t;
            squares += t * t;
        }
        assertEquals(1, sum / n, 0.01);
        assertEquals(cv, Math.sqrt(squares / n - sum * sum / n / n), 0.02 * cv);
    }
}
