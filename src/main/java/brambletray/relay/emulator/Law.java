package brambletray.relay.emulator;

import java.util.SplittableRandom;

/** How long a server takes for one call, before it is slowed or cold; ns. */
public sealed interface Law {
    /** Mean, ns. */
    double mean();

    /** One draw, ns; 1 at least. */
    long draw(SplittableRandom random);

    /** Always the same time. */
    record Constant(double mean) implements Law {
        @Override
        public long draw(SplittableRandom random) {
            return Math.max(1, Math.round(mean));
        }
    }

    /** Exponential times. */
    record Exponential(double mean) implements Law {
        @Override
        public long draw(SplittableRandom random) {
            return Math.max(1, Math.round(-mean * Math.log(1 - random.nextDouble())));
        }
    }

    /** Lognormal times with this mean and this standard deviation as a share of it. */
    record LogNormal(double mean, double cv) implements Law {
        @Override
        public long draw(SplittableRandom random) {
            double variance = Math.log(1 + cv * cv);
            // Box and Muller: one of the two normal draws is enough here.
            double normal =
                    Math.sqrt(-2 * Math.log(1 - random.nextDouble())) * Math.cos(2 * Math.PI * random.nextDouble());
            return Math.max(1, Math.round(mean * Math.exp(Math.sqrt(variance) * normal - variance / 2)));
        }
    }
}
