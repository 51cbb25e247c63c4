package brambletray.platform.configuration;

/** Whether the requests of a route may be repeated (page PROTOCOL, Requests). */
public enum RouteKind {
    /** A request may be executed more than once. */
    IDEMPOTENT("idempotent"),
    /** A request is executed at most once for each attempt of a client. */
    NON_IDEMPOTENT("non_idempotent"),
    /** All attempts of a tenant with the same operation key are executed at most once in total. */
    KEYED("keyed");

    private final String configurationValue;

    RouteKind(String word) {
        this.configurationValue = word;
    }

    /** The kind with this value in the configuration, or null if there is none. */
    static RouteKind of(String value) {
        for (RouteKind kind : values()) {
            if (kind.configurationValue.equals(value)) {
                return kind;
            }
        }
        return null;
    }
}
