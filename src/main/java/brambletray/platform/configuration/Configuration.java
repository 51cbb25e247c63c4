package brambletray.platform.configuration;

import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * A configuration in full: valid, never changed, of one revision (page PROTOCOL, The operator). What isn't understood
 * in it is kept and shown. Safe to be read by any thread.
 */
public final class Configuration {
    /** Revision 0: nothing is routed. The first configuration builds on it. */
    public static final Configuration NONE =
            new Configuration(0, Map.of(), Map.of(), ClientLimits.USUAL, new ConfigurationDocument());

    private static final String REVISION = "revision";
    private static final String LIMITS = "limits";

    private final long revision;
    private final Map<String, Route> routes;
    private final Map<String, Service> services;
    private final ClientLimits limits;
    private final RouteTable places;
    private final ConfigurationDocument parts;
    /** Over all entries; 0: not counted yet. Two threads that count it at once find the same. */
    private long sum;

    private Configuration(
            long revision,
            Map<String, Route> routes,
            Map<String, Service> services,
            ClientLimits limits,
            ConfigurationDocument parts) {
        this.revision = revision;
        this.routes = Collections.unmodifiableMap(routes);
        this.services = Collections.unmodifiableMap(services);
        this.limits = limits;
        this.parts = parts;
        if (parts.size() > ConfigurationJson.LARGEST) {
            throw ConfigurationJson.tooLarge(parts.size());
        }
        for (Route route : routes.values()) {
            for (int i = 0; i < route.shares().size(); i++) {
                String service = route.shares().get(i).service();
                if (!services.containsKey(service)) {
                    throw new ConfigurationException(
                            "unknown-service",
                            "routes[" + ConfigurationJson.brief(route.name()) + "].service",
                            "expected a service of the configuration, found " + ConfigurationJson.brief(service));
                }
            }
        }
        places = new RouteTable(routes.values());
    }

    /**
     * The body of a replacement; {@link ConfigurationException} where it is invalid. Whether its revision is above
     * another's says
     * {@link #after}.
     */
    public static Configuration read(byte[] body) {
        JsonFields in = JsonFields.from("", ConfigurationJson.read(body).plain());
        long revision = in.number(REVISION, 1, Long.MAX_VALUE);
        for (String table : List.of(ConfigurationDocument.ROUTES, ConfigurationDocument.SERVICES)) {
            if (!in.has(table)) {
                throw in.fault("missing", table, "expected a list, is missing");
            }
        }
        ConfigurationDocument parts = new ConfigurationDocument();
        for (String field : in.names()) {
            if (!field.equals(REVISION)) {
                parts.put(field, in.raw(field), body);
            }
        }
        return new Configuration(
                revision,
                routes(in, new LinkedHashMap<>()),
                services(in, new LinkedHashMap<>()),
                in.has(LIMITS) ? ClientLimits.from(in.below(LIMITS)) : ClientLimits.USUAL,
                parts);
    }

    /** This one, if its revision is above the current one's; else {@link ConfigurationException}. */
    public Configuration after(Configuration current) {
        if (revision <= current.revision) {
            throw new ConfigurationException(
                    "old-revision",
                    REVISION,
                    "expected more than the current " + current.revision + ", found " + revision);
        }
        return this;
    }

    /**
     * This one with named items added, replaced ({@code upsert}) and removed ({@code withdraw}); fields of
     * {@code upsert} that hold no items, as limits, are replaced, those of an object one by one. A name to remove that
     * isn't there is gone already. {@link ConfigurationException} where the change is invalid, or what would become of
     * it.
     */
    public Configuration modify(byte[] body) {
        JsonFields in = JsonFields.from("", ConfigurationJson.read(body).plain());
        long next = in.number(REVISION, 1, Long.MAX_VALUE);
        ConfigurationDocument changed = parts.copy();
        Map<String, Route> nextRoutes = new LinkedHashMap<>(routes);
        Map<String, Service> nextServices = new LinkedHashMap<>(services);
        ClientLimits nextLimits = limits;
        Set<String> set = new HashSet<>();
        if (in.has("upsert")) {
            JsonFields upsert = in.below("upsert");
            routes(upsert, nextRoutes);
            services(upsert, nextServices);
            for (String field : upsert.names()) {
                if (upsert.has(field)) {
                    changed.put(field, upsert.raw(field), body);
                    set.addAll(ConfigurationDocument.names(field, upsert.value(field)));
                }
            }
            if (upsert.has(LIMITS)) {
                nextLimits = ClientLimits.from(JsonFields.from(
                        LIMITS, ConfigurationJson.read(changed.field(LIMITS)).plain()));
            }
        }
        if (in.has("withdraw")) {
            withdraw(in.below("withdraw"), set, changed, nextRoutes, nextServices);
        }
        return new Configuration(next, nextRoutes, nextServices, nextLimits, changed).after(this);
    }

    private static void withdraw(
            JsonFields in,
            Set<String> set,
            ConfigurationDocument changed,
            Map<String, Route> routes,
            Map<String, Service> services) {
        for (String table : in.names()) {
            List<ConfigurationJson.Value> names = in.list(table);
            for (int i = 0; names != null && i < names.size(); i++) {
                if (!(names.get(i).plain() instanceof String name)) {
                    throw in.fault("wrong-type", table + '[' + i + ']', "expected a name");
                }
                if (set.contains(table + '/' + name)) {
                    throw in.fault(
                            "ambiguous",
                            table + '[' + i + ']',
                            "expected a name that isn't in upsert too, found " + ConfigurationJson.brief(name));
                }
                changed.remove(table, name);
                if (table.equals(ConfigurationDocument.ROUTES)) {
                    routes.remove(name);
                } else if (table.equals(ConfigurationDocument.SERVICES)) {
                    services.remove(name);
                }
            }
        }
    }

    /** Adds the routes of this object to those known; each of them once. */
    private static Map<String, Route> routes(JsonFields in, Map<String, Route> into) {
        Set<String> seen = new HashSet<>();
        for (ConfigurationJson.Value item : items(in, ConfigurationDocument.ROUTES)) {
            Route route =
                    Route.from(JsonFields.from(ConfigurationDocument.ROUTES + '[' + seen.size() + ']', item.plain()));
            once(seen, ConfigurationDocument.ROUTES, route.name());
            into.put(route.name(), route);
        }
        return into;
    }

    private static Map<String, Service> services(JsonFields in, Map<String, Service> into) {
        Set<String> seen = new HashSet<>();
        for (ConfigurationJson.Value item : items(in, ConfigurationDocument.SERVICES)) {
            Service service = Service.from(
                    JsonFields.from(ConfigurationDocument.SERVICES + '[' + seen.size() + ']', item.plain()));
            once(seen, ConfigurationDocument.SERVICES, service.name());
            into.put(service.name(), service);
        }
        return into;
    }

    private static List<ConfigurationJson.Value> items(JsonFields in, String table) {
        List<ConfigurationJson.Value> items = in.list(table);
        return items == null ? List.of() : items;
    }

    private static void once(Set<String> seen, String table, String name) {
        if (!seen.add(name)) {
            throw new ConfigurationException(
                    "duplicate-name",
                    table + '[' + ConfigurationJson.brief(name) + "].name",
                    "expected each name once");
        }
    }

    /**
     * This one with a taken change ({@link ChangeDecision.Fine#change}) on top, for those who follow: far smaller than
     * the
     * whole. {@link ConfigurationException} {@code creed.stale} where the change builds on another revision: ask for
     * the whole
     * then.
     */
    public Configuration apply(byte[] change) {
        return ConfigurationChange.from(change).on(this);
    }

    /** {@link #json} packed, for a slow or dear link. */
    public byte[] packed() {
        return DeltaCompression.pack(json());
    }

    /** From {@link #packed}; {@link ConfigurationException}. */
    public static Configuration unpack(byte[] packed) {
        return read(DeltaCompression.unpack(packed));
    }

    /**
     * This one with a difference on top, entry by entry; one of base 0 holds a whole configuration and is put on
     * nothing. {@link ConfigurationException} {@code creed.stale} where it builds on another revision, {@code
     * creed.not-newer}
     * where it leads to no later one, {@code creed.digest} where the result isn't what the sender has, and the other
     * codes where an entry can't be read: ask for the whole then.
     */
    public Configuration apply(ConfigurationDelta delta) {
        if (delta.base() != 0 && delta.base() != revision) {
            throw new ConfigurationException(
                    "stale", "", "expected a difference from " + revision + ", found one from " + delta.base());
        }
        if (delta.revision() <= revision) {
            throw new ConfigurationException(
                    "not-newer", "", "expected a revision above " + revision + ", found " + delta.revision());
        }
        Configuration next = delta.base() == 0 ? NONE.with(delta) : with(delta);
        if (next.digest() != delta.digest()) {
            throw new ConfigurationException(
                    "digest",
                    "",
                    "expected the digest " + Long.toHexString(delta.digest()) + " of revision " + delta.revision()
                            + ", found " + Long.toHexString(next.digest()));
        }
        return next;
    }

    private Configuration with(ConfigurationDelta delta) {
        ConfigurationDocument changed = parts.copy();
        Map<String, Route> nextRoutes = new LinkedHashMap<>(routes);
        Map<String, Service> nextServices = new LinkedHashMap<>(services);
        long nextSum = sum();
        for (ConfigurationDelta.Entry entry : delta.entries()) {
            nextSum += ConfigurationDigest.of(entry)
                    - ConfigurationDigest.of(entry.table(), entry.name(), parts.entry(entry.table(), entry.name()));
            changed.set(entry.table(), entry.name(), entry.body());
            if (entry.table().equals(ConfigurationDocument.ROUTES)) {
                put(nextRoutes, entry, Route::from);
            } else if (entry.table().equals(ConfigurationDocument.SERVICES)) {
                put(nextServices, entry, Service::from);
            }
        }
        ClientLimits nextLimits = changed.field(LIMITS) == parts.field(LIMITS) ? limits : limits(changed.field(LIMITS));
        Configuration next = new Configuration(delta.revision(), nextRoutes, nextServices, nextLimits, changed);
        next.sum = nextSum;
        return next;
    }

    private static <T> void put(Map<String, T> items, ConfigurationDelta.Entry entry, Function<JsonFields, T> read) {
        if (entry.body() == null) {
            items.remove(entry.name());
        } else {
            items.put(
                    entry.name(),
                    read.apply(JsonFields.from(
                            entry.table() + '[' + ConfigurationJson.brief(entry.name()) + ']',
                            ConfigurationJson.read(entry.body()).plain())));
        }
    }

    private static ClientLimits limits(byte[] field) {
        return field == null || field[0] != '{'
                ? ClientLimits.USUAL
                : ClientLimits.from(
                        JsonFields.from(LIMITS, ConfigurationJson.read(field).plain()));
    }

    /**
     * The same for the same content, whatever the order of its entries: 64 bits over the revision and the sum over all
     * entries.
     */
    public long digest() {
        return ConfigurationDigest.of(revision, sum());
    }

    private long sum() {
        long known = sum;
        if (known == 0) {
            for (Map.Entry<ConfigurationDocument.Key, byte[]> one :
                    parts.entries().entrySet()) {
                known += ConfigurationDigest.of(
                        one.getKey().table(), one.getKey().name(), one.getValue());
            }
            sum = known;
        }
        return known;
    }

    /**
     * Names of entries in which this one differs from {@code before}, byte for byte; what is known of that one's digest
     * is used here.
     */
    Set<ConfigurationDocument.Key> changedSince(Configuration before) {
        Set<ConfigurationDocument.Key> changed = parts.changedSince(before.parts);
        if (sum == 0 && before.sum != 0) {
            long next = before.sum;
            for (ConfigurationDocument.Key key : changed) {
                next += ConfigurationDigest.of(key.table(), key.name(), entry(key))
                        - ConfigurationDigest.of(key.table(), key.name(), before.entry(key));
            }
            sum = next;
        }
        return changed;
    }

    /** As bytes, or null: it isn't there. */
    byte[] entry(ConfigurationDocument.Key key) {
        return parts.entry(key.table(), key.name());
    }

    Map<ConfigurationDocument.Key, byte[]> entries() {
        return parts.entries();
    }

    /**
     * The route for a request: of those of its host (any case, with or without port) the one with the longest prefix;
     * null: 404.
     */
    public Route match(CharSequence host, String path) {
        return places.match(host, path);
    }

    /** The whole configuration as it is shown, what isn't understood included; made anew at each call. */
    public byte[] json() {
        return parts.json(revision);
    }

    public long revision() {
        return revision;
    }

    /** By name, in the order in which they came. */
    public Map<String, Route> routes() {
        return routes;
    }

    /** By name, in the order in which they came. */
    public Map<String, Service> services() {
        return services;
    }

    public ClientLimits limits() {
        return limits;
    }
}
