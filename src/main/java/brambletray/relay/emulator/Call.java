package brambletray.relay.emulator;

import java.util.ArrayList;
import java.util.List;

/** One call as it came; {@code key} null for none; {@code first}: the first on its connection. */
public class Call {
    public final String caller;
    public final String message;
    public final String key;
    public final boolean first;
    /** All messages that came in this call, itself first. */
    private List<Call> each = List.of(this);
    /** Set by the endpoint: when it came, and when it began to be served (-1 before); ns. */
    long arrived;

    long began = -1;
    long finish;
    long number;
    boolean abandoned;

    public Call(String caller, String message, String key, boolean first) {
        this.caller = caller;
        this.message = message;
        this.key = key;
        this.first = first;
    }

    /** Makes one call of several messages: they use one place, are served together and answered together. */
    public void together(List<? extends Call> others) {
        List<Call> all = new ArrayList<>(others.size() + 1);
        all.add(this);
        all.addAll(others);
        each = List.copyOf(all);
    }

    /** All messages of this call, itself first. */
    public List<Call> each() {
        return each;
    }
}
