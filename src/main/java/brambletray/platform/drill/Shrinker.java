package brambletray.platform.drill;

import java.util.ArrayList;
import java.util.List;

/** Takes troubles out of a script for as long as the same rule breaks. */
final class Shrinker {
    private Shrinker() {}

    static Course.Result shrink(Course.Result first) {
        Course.Result best = first;
        boolean fewer = true;
        while (fewer) {
            fewer = false;
            for (int i = best.script().troubles().size() - 1; i >= 0; i--) {
                List<Trouble> rest = new ArrayList<>(best.script().troubles());
                rest.remove(i);
                Course.Result tried = Course.play(best.script().with(rest), null);
                if (same(first, tried)) {
                    best = tried;
                    fewer = true;
                }
            }
        }
        return best;
    }

    private static boolean same(Course.Result first, Course.Result other) {
        return other.broken() != null && rule(first).equals(rule(other));
    }

    static String rule(Course.Result result) {
        return result.broken().substring(0, result.broken().indexOf(' '));
    }
}
