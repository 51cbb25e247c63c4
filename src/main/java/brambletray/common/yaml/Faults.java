package brambletray.common.yaml;

import java.util.List;

/** All that is wrong with one file, a line each: file, line, column and what was expected. */
public final class Faults extends Exception {
    private static final long serialVersionUID = 1L;
    private final transient List<String> lines;

    /** {@code lines}: one for each fault. */
    public Faults(List<String> lines) {
        super(String.join("\n", lines), null, false, false);
        this.lines = lines;
    }

    /** One line for each fault. */
    public List<String> lines() {
        return lines;
    }
}
