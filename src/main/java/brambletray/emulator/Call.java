package brambletray.emulator;

/** One call as it came; {@code key} null for none; {@code first}: the first on its connection. */
public class Call {
    public final String caller;
    public final String message;
    public final String key;
    public final boolean first;
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
}
