package brambletray.platform.configuration;

/** What may be repeated of a route's requests (page PROTOCOL, Requests). */
public enum RouteKind {
    /** A request may run more than once. */
    IDEMPOTENT("idempotent"),
    /** A request runs at most once for each attempt of a client. */
    NON_IDEMPOTENT("non_idempotent"),
    /** All attempts of a tenant that bear the same operation key run at most once together. */
    KEYED("keyed");

    private final String configurationValue;

    RouteKind(String word) {
        this.configurationValue = word;
    }

    /** The kind of this word of a configuration; null: there is none. */
    static RouteKind of(String word) {
        for (RouteKind kind : values()) {
            if (kind.configurationValue.equals(word)) {
                return kind;
            }
        }
        return null;
    }
}
