package brambletray.platform.proxy;

import java.util.ArrayList;
import java.util.List;

/** One column of a {@link Timeline}: performs the scripted actions and records what it observes. */
abstract class Actor {
    private final List<String> seen = new ArrayList<>();

    final void sees(String what) {
        seen.add(what);
    }

    /** Returns and clears the observations since the last call. */
    final List<String> look() {
        List<String> looked = List.copyOf(seen);
        seen.clear();
        return looked;
    }

    /** Performs the words if they are an action; false if they are an expected observation. */
    abstract boolean act(String[] words);
}
