package brambletray.relay.check;

import brambletray.relay.emulator.Endpoint;
import brambletray.relay.emulator.Ledger;
import brambletray.relay.emulator.World;
import brambletray.relay.script.Script;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeSet;

/**
 * What a check sends to whom and when, drawn ahead from the script's seed, so that the model and the wire get
 * the very same load.
 */
final class Plan {
    private static final long NEVER = 1_000_000_000L * 3_600 * 24 * 365;

    private final Script script;
    private final List<long[]> arrivals = new ArrayList<>();

    Plan(Script script) {
        this.script = script;
        SplittableRandom seeds = new SplittableRandom(script.seed());
        for (int i = 0; i < script.endpoints(); i++) {
            SplittableRandom random = seeds.split();
            List<Long> times = new ArrayList<>();
            double at = 0;
            while (true) {
                at += -Math.log(1 - random.nextDouble()) / script.check().perSecond() * 1e9;
                if (at >= script.length()) {
                    break;
                }
                times.add((long) at);
            }
            arrivals.add(times.stream().mapToLong(Long::longValue).toArray());
        }
    }

    Script script() {
        return script;
    }

    /** A new world of the script; all of them take the same course under the same calls. */
    World world() {
        return new World(script.partners(), script.steps(), new Ledger(NEVER), script.seed());
    }

    /** When calls are sent to an endpoint, by its place in the script; ns. */
    long[] arrivals(int endpoint) {
        return arrivals.get(endpoint);
    }

    static String message(Endpoint endpoint, int index) {
        return endpoint.name() + "#" + index;
    }

    /** Where the phases of an endpoint begin, with the end of the script as the last; ns. */
    List<Long> phases(Endpoint endpoint) {
        TreeSet<Long> borders = new TreeSet<>(List.of(0L, script.length()));
        script.steps().stream()
                .filter(step -> step.endpoints().contains(endpoint.name()))
                .forEach(step -> {
                    borders.add(Math.min(step.at(), script.length()));
                    borders.add(Math.min(step.until(), script.length()));
                });
        return List.copyOf(borders);
    }
}
