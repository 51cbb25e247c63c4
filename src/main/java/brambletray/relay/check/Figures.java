package brambletray.relay.check;

import brambletray.relay.check.Sample.Outcome;
import java.util.Arrays;
import java.util.List;

/**
 * What one endpoint did in one phase: calls sent in it, those that waited or were served in it on average
 * over time, latency of the delivered in ms, and the shares that were refused or went wrong otherwise.
 */
record Figures(
        int calls, double inHand, double mean, double p50, double p95, double p99, double refused, double wrong) {

    static Figures of(List<Sample> samples, long from, long until) {
        int calls = 0;
        int refused = 0;
        int wrong = 0;
        double held = 0;
        double[] latencies = new double[samples.size()];
        int delivered = 0;
        for (Sample sample : samples) {
            if (sample == null) {
                continue;
            }
            held += Math.max(0, Math.min(until, sample.ended()) - Math.max(from, sample.sent()));
            if (sample.sent() < from || sample.sent() >= until) {
                continue;
            }
            calls++;
            if (sample.outcome() == Outcome.DELIVERED) {
                latencies[delivered++] = (sample.ended() - sample.sent()) / 1e6;
            } else if (sample.outcome() == Outcome.REFUSED) {
                refused++;
            } else {
                wrong++;
            }
        }
        double[] sorted = Arrays.copyOf(latencies, delivered);
        Arrays.sort(sorted);
        return new Figures(
                calls,
                held / Math.max(1, until - from),
                Arrays.stream(sorted).average().orElse(0),
                at(sorted, 0.5),
                at(sorted, 0.95),
                at(sorted, 0.99),
                refused / (double) Math.max(1, calls),
                wrong / (double) Math.max(1, calls));
    }

    private static double at(double[] sorted, double share) {
        return sorted.length == 0 ? 0 : sorted[(int) Math.min(sorted.length - 1L, (long) (share * sorted.length))];
    }
}
