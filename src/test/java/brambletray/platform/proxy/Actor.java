package brambletray.platform.proxy;

import java.util.ArrayList;
import java.util.List;

/** One column of a {@link Timeline}: does what is drawn, and notes what it sees. */
abstract class Actor {
    private final List<String> seen = new ArrayList<>();

    final void sees(String what) {
        seen.add(what);
    }

    /** What was seen since the last look. */
    final List<String> look() {
        List<String> looked = List.copyOf(seen);
        seen.clear();
        return looked;
    }

    /** Does it, if it is something to be done; false: it is something to be seen. */
    abstract boolean act(String[] words);
}
