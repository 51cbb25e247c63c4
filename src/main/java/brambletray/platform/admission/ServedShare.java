package brambletray.platform.admission;

import java.util.Collection;

/** The share of served requests of one class or tenant, with exponential decay. Not thread-safe. */
final class ServedShare {
    /** Minimum of decayed outcomes before a group can count as disadvantaged. */
    private static final double MIN_REQUESTS = 1.5;
    /** A group is disadvantaged if its share of served requests is below this fraction of the overall share. */
    private static final double MIN_SHARE = 0.5;

    private double served;
    private double notServed;
    private boolean disadvantaged;

    /** Whether this group is served less than half as often as all. */
    boolean isDisadvantaged() {
        return disadvantaged;
    }

    void countServed() {
        served++;
    }

    void countNotServed() {
        notServed++;
    }

    /** The decayed number of outcomes. */
    double outcomes() {
        return served + notServed;
    }

    void decay(double factor) {
        served *= factor;
        notServed *= factor;
    }

    /** Compares the share of each group with that of all of them together. */
    static void evaluate(Collection<ServedShare> shares) {
        double servedOfAll = 0;
        double outcomesOfAll = 0;
        for (ServedShare share : shares) {
            servedOfAll += share.served;
            outcomesOfAll += share.outcomes();
        }
        for (ServedShare share : shares) {
            share.updateAgainst(servedOfAll, outcomesOfAll);
        }
    }

    private void updateAgainst(double servedOfAll, double outcomesOfAll) {
        double ownOutcomes = outcomes();
        disadvantaged = ownOutcomes >= MIN_REQUESTS && served * outcomesOfAll < MIN_SHARE * servedOfAll * ownOutcomes;
    }
}
