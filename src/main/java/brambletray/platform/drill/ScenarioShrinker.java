package brambletray.platform.drill;

import java.util.ArrayList;
import java.util.List;

/** Takes troubles out of a script for as long as the same rule breaks. */
final class ScenarioShrinker {
    private ScenarioShrinker() {}

    static Scenario.Result shrink(Scenario.Result first) {
        Scenario.Result best = first;
        boolean fewer = true;
        while (fewer) {
            fewer = false;
            for (int i = best.script().faults().size() - 1; i >= 0; i--) {
                List<Fault> rest = new ArrayList<>(best.script().faults());
                rest.remove(i);
                Scenario.Result tried = Scenario.play(best.script().with(rest), null);
                if (same(first, tried)) {
                    best = tried;
                    fewer = true;
                }
            }
        }
        return best;
    }

    private static boolean same(Scenario.Result first, Scenario.Result other) {
        return other.broken() != null && rule(first).equals(rule(other));
    }

    static String rule(Scenario.Result result) {
        return result.broken().substring(0, result.broken().indexOf(' '));
    }
}
