package brambletray.platform.admission;

import java.util.Collection;

/** How often the requests of one group are served: outcomes, of which older ones fade. One thread. */
final class ServedShare {
    /** Outcomes of a group that are needed to judge it. */
    private static final double MIN_REQUESTS = 1.5;
    /** A group is behind below this share of the rate at which all are served. */
    private static final double MIN_SHARE = 0.5;

    private double served;
    private double notServed;
    private boolean disadvantaged;

    /** Whether it is served less than half as often as all. */
    boolean isDisadvantaged() {
        return disadvantaged;
    }

    void countServed() {
        served++;
    }

    void countNotServed() {
        notServed++;
    }

    /** Outcomes that are remembered. */
    double outcomes() {
        return served + notServed;
    }

    void decay(double left) {
        served *= left;
        notServed *= left;
    }

    /** Judges each of these groups against all of them. */
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
        double own = outcomes();
        disadvantaged = own >= MIN_REQUESTS && served * outcomesOfAll < MIN_SHARE * servedOfAll * own;
    }
}
