package brambletray.relay.console;

/**
 * What a call of an operator's is answered: an HTTP status and text, a line or several.
 */
public record CommandResponse(int status, String text) {
    /** It is so, or done. */
    public static CommandResponse yes(String text) {
        return new CommandResponse(200, text);
    }

    /** True for a yes. */
    public boolean isYes() {
        return status / 100 == 2;
    }
}
