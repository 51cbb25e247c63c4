package brambletray.platform.admission;

import java.util.ArrayList;
import java.util.List;

/**
 * Prints the results of {@link SimulatedZones} for different parameters: {@code SimulatedZonesMain [seeds [parameter
 * value,...]]}.
 */
public final class SimulatedZonesMain {
    private SimulatedZonesMain() {}

    record Site(
            int zones,
            double crossMs,
            double perS,
            int deskBootMs,
            int deskTarget,
            int deskDeadline,
            int deskWork,
            int claimTarget,
            int claimWork,
            int rareBootMs,
            int rareTarget,
            int rareDeadline,
            double priceGbS,
            double priceStart,
            double priceCross) {}

    static final Site LARGE = new Site(3, 1.4, 210, 1400, 300, 4000, 60, 400, 90, 900, 1500, 8000, 1.1, 0.45, 0.075);
    static final Site FAST = new Site(4, 0.5, 210, 750, 400, 2500, 80, 500, 120, 500, 1000, 5000, 1.1, 0.15, 0.02);

    static SimulatedZones simulate(
            Site site, long seed, AdmissionParameters parameters, double burstFactor, double rareBurstFactor) {
        List<String> zones = new ArrayList<>();
        for (int i = 0; i < site.zones; i++) {
            zones.add("zone-" + (char) ('a' + i));
        }
        SimulatedZones simulation = new SimulatedZones(seed, zones, site.crossMs, parameters);
        double length = 49000;
        simulation.at(100, () -> {
            for (int i = 0; i < 6; i++) {
                simulation.add(new ServiceSpec("desk" + i, 512, site.deskBootMs, 4, site.deskTarget));
            }
            for (int i = 0; i < 105; i++) {
                simulation.add(new ServiceSpec("rare" + i, 128, site.rareBootMs, 1, site.rareTarget));
            }
        });
        simulation.at(15000, () -> {
            for (String zone : zones) {
                double rate = site.perS / site.zones;
                addArrivals(
                        simulation,
                        zone,
                        "desk",
                        6,
                        rate * 0.6,
                        burstFactor,
                        length,
                        2,
                        site.deskTarget,
                        site.deskDeadline,
                        1,
                        0.3,
                        site.deskWork,
                        0.3);
                addArrivals(
                        simulation,
                        zone,
                        "desk",
                        6,
                        rate * 0.2,
                        1,
                        length,
                        1,
                        site.claimTarget,
                        site.deskDeadline,
                        2,
                        0.6,
                        site.claimWork,
                        0);
                addArrivals(
                        simulation,
                        zone,
                        "rare",
                        105,
                        rate * 0.2,
                        rareBurstFactor,
                        length,
                        2,
                        site.rareTarget,
                        site.rareDeadline,
                        1,
                        0.3,
                        site.deskWork,
                        0);
            }
        });
        simulation.runUntil(length);
        return simulation;
    }

    private static void addArrivals(
            SimulatedZones simulation,
            String zone,
            String name,
            int services,
            double perS,
            double burst,
            double until,
            int priority,
            int target,
            int deadline,
            double value,
            double lateValue,
            double work,
            double nestedCallShare) {
        double sum = 0;
        for (int i = 0; i < services; i++) {
            sum += Math.pow(i + 1, -0.9);
        }
        for (int i = 0; i < services; i++) {
            double rate = perS * Math.pow(i + 1, -0.9) / sum;
            SimulatedZones.RequestKind kind = new SimulatedZones.RequestKind(
                    name + i, priority, target, deadline, value, lateValue, work, nestedCallShare);
            simulation.arrivals(
                    kind,
                    zone,
                    now -> now > 26500 && now < 30000 ? rate * burst : rate,
                    rate * Math.max(1, burst),
                    until);
        }
    }

    public static void main(String[] args) {
        int seeds = args.length > 0 ? Integer.parseInt(args[0]) : 3;
        System.setProperty("java.util.logging.SimpleFormatter.format", "");
        java.util.logging.LogManager.getLogManager().reset();
        AdmissionParameters standard = AdmissionParameters.of(0.2, 52, 10000, 3);
        printResults("standard", standard, seeds);
        if (args.length < 2) {
            return;
        }
        String[] values = args[2].split(",");
        for (String value : values) {
            double v = Double.parseDouble(value);
            printResults(
                    args[1] + " " + value,
                    switch (args[1]) {
                        case "k" -> standard.withHeadroom(v, 3, 0.15);
                        case "tail" -> standard.withHeadroom(1, v, 0.15);
                        case "burst" -> standard.withHeadroom(1, 3, v);
                        case "cross" -> standard.withCrossZonePrice(v);
                        case "start" -> standard.withKeepAlivePrices(v, 0.6);
                        case "late" -> standard.withKeepAlivePrices(0.4, v);
                        default -> throw new IllegalArgumentException(args[1]);
                    },
                    seeds);
        }
    }

    private static void printResults(String title, AdmissionParameters parameters, int seeds) {
        for (Site site : new Site[] {LARGE, FAST}) {
            for (double[] burst : new double[][] {{1, 1}, {2.3, 1}, {1, 2.9}}) {
                double net = 0;
                double value = 0;
                SimulatedZones last = null;
                for (int seed = 1; seed <= seeds; seed++) {
                    last = simulate(site, seed, parameters, burst[0], burst[1]);
                    double cost = last.gbSeconds() * site.priceGbS
                            + last.starts * site.priceStart
                            + last.crossZoneRequests * site.priceCross;
                    net += (last.value - cost) / last.maxValue;
                    value += last.value / last.maxValue;
                }
                System.out.printf(
                        "%-18s %s x%.1f x%.1f  NET %.4f VALUE %.4f | %s%n",
                        title,
                        site == LARGE ? "large" : "fast ",
                        burst[0],
                        burst[1],
                        net / seeds,
                        value / seeds,
                        last.figures(site.priceGbS, site.priceStart, site.priceCross));
            }
        }
    }
}
