package brambletray.platform.provisioning;

/** The answer to a start; {@code id} and {@code address} only where the result is OK. */
public record StartResponse(CallResult result, String id, String address) {
    /** A response without an instance. */
    public static StartResponse of(CallResult result) {
        return new StartResponse(result, null, null);
    }
}
