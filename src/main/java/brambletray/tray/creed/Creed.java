package brambletray.tray.creed;

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
public final class Creed {
    /** Revision 0: nothing is routed. The first configuration builds on it. */
    public static final Creed NONE = new Creed(0, Map.of(), Map.of(), Limits.USUAL, new Parts());

    private static final String REVISION = "revision";
    private static final String LIMITS = "limits";

    private final long revision;
    private final Map<String, Route> routes;
    private final Map<String, Service> services;
    private final Limits limits;
    private final Places places;
    private final Parts parts;
    /** Over all entries; 0: not counted yet. Two threads that count it at once find the same. */
    private long sum;

    private Creed(long revision, Map<String, Route> routes, Map<String, Service> services, Limits limits, Parts parts) {
        this.revision = revision;
        this.routes = Collections.unmodifiableMap(routes);
        this.services = Collections.unmodifiableMap(services);
        this.limits = limits;
        this.parts = parts;
        if (parts.size() > CreedJson.LARGEST) {
            throw CreedJson.tooLarge(parts.size());
        }
        for (Route route : routes.values()) {
            for (int i = 0; i < route.shares().size(); i++) {
                String service = route.shares().get(i).service();
                if (!services.containsKey(service)) {
                    throw new CreedFault(
                            "unknown-service",
                            "routes[" + CreedJson.brief(route.name()) + "].service",
                            "expected a service of the configuration, found " + CreedJson.brief(service));
                }
            }
        }
        places = new Places(routes.values());
    }

    /**
     * The body of a replacement; {@link CreedFault} where it is invalid. Whether its revision is above another's says
     * {@link #after}.
     */
    public static Creed read(byte[] body) {
        Fields in = Fields.from("", CreedJson.read(body).plain());
        long revision = in.number(REVISION, 1, Long.MAX_VALUE);
        for (String table : List.of(Parts.ROUTES, Parts.SERVICES)) {
            if (!in.has(table)) {
                throw in.fault("missing", table, "expected a list, is missing");
            }
        }
        Parts parts = new Parts();
        for (String field : in.names()) {
            if (!field.equals(REVISION)) {
                parts.put(field, in.raw(field), body);
            }
        }
        return new Creed(
                revision,
                routes(in, new LinkedHashMap<>()),
                services(in, new LinkedHashMap<>()),
                in.has(LIMITS) ? Limits.from(in.below(LIMITS)) : Limits.USUAL,
                parts);
    }

    /** This one, if its revision is above the current one's; else {@link CreedFault}. */
    public Creed after(Creed current) {
        if (revision <= current.revision) {
            throw new CreedFault(
                    "old-revision",
                    REVISION,
                    "expected more than the current " + current.revision + ", found " + revision);
        }
        return this;
    }

    /**
     * This one with named items added, replaced ({@code upsert}) and removed ({@code withdraw}); fields of
     * {@code upsert} that hold no items, as limits, are replaced, those of an object one by one. A name to remove that
     * isn't there is gone already. {@link CreedFault} where the change is invalid, or what would become of it.
     */
    public Creed modify(byte[] body) {
        Fields in = Fields.from("", CreedJson.read(body).plain());
        long next = in.number(REVISION, 1, Long.MAX_VALUE);
        Parts changed = parts.copy();
        Map<String, Route> nextRoutes = new LinkedHashMap<>(routes);
        Map<String, Service> nextServices = new LinkedHashMap<>(services);
        Limits nextLimits = limits;
        Set<String> set = new HashSet<>();
        if (in.has("upsert")) {
            Fields upsert = in.below("upsert");
            routes(upsert, nextRoutes);
            services(upsert, nextServices);
            for (String field : upsert.names()) {
                if (upsert.has(field)) {
                    changed.put(field, upsert.raw(field), body);
                    set.addAll(Parts.names(field, upsert.value(field)));
                }
            }
            if (upsert.has(LIMITS)) {
                nextLimits = Limits.from(Fields.from(
                        LIMITS, CreedJson.read(changed.field(LIMITS)).plain()));
            }
        }
        if (in.has("withdraw")) {
            withdraw(in.below("withdraw"), set, changed, nextRoutes, nextServices);
        }
        return new Creed(next, nextRoutes, nextServices, nextLimits, changed).after(this);
    }

    private static void withdraw(
            Fields in, Set<String> set, Parts changed, Map<String, Route> routes, Map<String, Service> services) {
        for (String table : in.names()) {
            List<CreedJson.Value> names = in.list(table);
            for (int i = 0; names != null && i < names.size(); i++) {
                if (!(names.get(i).plain() instanceof String name)) {
                    throw in.fault("wrong-type", table + '[' + i + ']', "expected a name");
                }
                if (set.contains(table + '/' + name)) {
                    throw in.fault(
                            "ambiguous",
                            table + '[' + i + ']',
                            "expected a name that isn't in upsert too, found " + CreedJson.brief(name));
                }
                changed.remove(table, name);
                if (table.equals(Parts.ROUTES)) {
                    routes.remove(name);
                } else if (table.equals(Parts.SERVICES)) {
                    services.remove(name);
                }
            }
        }
    }

    /** Adds the routes of this object to those known; each of them once. */
    private static Map<String, Route> routes(Fields in, Map<String, Route> into) {
        Set<String> seen = new HashSet<>();
        for (CreedJson.Value item : items(in, Parts.ROUTES)) {
            Route route = Route.from(Fields.from(Parts.ROUTES + '[' + seen.size() + ']', item.plain()));
            once(seen, Parts.ROUTES, route.name());
            into.put(route.name(), route);
        }
        return into;
    }

    private static Map<String, Service> services(Fields in, Map<String, Service> into) {
        Set<String> seen = new HashSet<>();
        for (CreedJson.Value item : items(in, Parts.SERVICES)) {
            Service service = Service.from(Fields.from(Parts.SERVICES + '[' + seen.size() + ']', item.plain()));
            once(seen, Parts.SERVICES, service.name());
            into.put(service.name(), service);
        }
        return into;
    }

    private static List<CreedJson.Value> items(Fields in, String table) {
        List<CreedJson.Value> items = in.list(table);
        return items == null ? List.of() : items;
    }

    private static void once(Set<String> seen, String table, String name) {
        if (!seen.add(name)) {
            throw new CreedFault(
                    "duplicate-name", table + '[' + CreedJson.brief(name) + "].name", "expected each name once");
        }
    }

    /**
     * This one with a taken change ({@link Verdict.Fine#change}) on top, for those who follow: far smaller than the
     * whole. {@link CreedFault} {@code creed.stale} where the change builds on another revision: ask for the whole
     * then.
     */
    public Creed apply(byte[] change) {
        return Change.from(change).on(this);
    }

    /** {@link #json} packed, for a slow or dear link. */
    public byte[] packed() {
        return Packing.pack(json());
    }

    /** From {@link #packed}; {@link CreedFault}. */
    public static Creed unpack(byte[] packed) {
        return read(Packing.unpack(packed));
    }

    /**
     * This one with a difference on top, entry by entry; one of base 0 holds a whole configuration and is put on
     * nothing. {@link CreedFault} {@code creed.stale} where it builds on another revision, {@code creed.not-newer}
     * where it leads to no later one, {@code creed.digest} where the result isn't what the sender has, and the other
     * codes where an entry can't be read: ask for the whole then.
     */
    public Creed apply(Delta delta) {
        if (delta.base() != 0 && delta.base() != revision) {
            throw new CreedFault(
                    "stale", "", "expected a difference from " + revision + ", found one from " + delta.base());
        }
        if (delta.revision() <= revision) {
            throw new CreedFault(
                    "not-newer", "", "expected a revision above " + revision + ", found " + delta.revision());
        }
        Creed next = delta.base() == 0 ? NONE.with(delta) : with(delta);
        if (next.digest() != delta.digest()) {
            throw new CreedFault(
                    "digest",
                    "",
                    "expected the digest " + Long.toHexString(delta.digest()) + " of revision " + delta.revision()
                            + ", found " + Long.toHexString(next.digest()));
        }
        return next;
    }

    private Creed with(Delta delta) {
        Parts changed = parts.copy();
        Map<String, Route> nextRoutes = new LinkedHashMap<>(routes);
        Map<String, Service> nextServices = new LinkedHashMap<>(services);
        long nextSum = sum();
        for (Delta.Entry entry : delta.entries()) {
            nextSum +=
                    Digest.of(entry) - Digest.of(entry.table(), entry.name(), parts.entry(entry.table(), entry.name()));
            changed.set(entry.table(), entry.name(), entry.body());
            if (entry.table().equals(Parts.ROUTES)) {
                put(nextRoutes, entry, Route::from);
            } else if (entry.table().equals(Parts.SERVICES)) {
                put(nextServices, entry, Service::from);
            }
        }
        Limits nextLimits = changed.field(LIMITS) == parts.field(LIMITS) ? limits : limits(changed.field(LIMITS));
        Creed next = new Creed(delta.revision(), nextRoutes, nextServices, nextLimits, changed);
        next.sum = nextSum;
        return next;
    }

    private static <T> void put(Map<String, T> items, Delta.Entry entry, Function<Fields, T> read) {
        if (entry.body() == null) {
            items.remove(entry.name());
        } else {
            items.put(
                    entry.name(),
                    read.apply(Fields.from(
                            entry.table() + '[' + CreedJson.brief(entry.name()) + ']',
                            CreedJson.read(entry.body()).plain())));
        }
    }

    private static Limits limits(byte[] field) {
        return field == null || field[0] != '{'
                ? Limits.USUAL
                : Limits.from(Fields.from(LIMITS, CreedJson.read(field).plain()));
    }

    /**
     * The same for the same content, whatever the order of its entries: 64 bits over the revision and the sum over all
     * entries.
     */
    public long digest() {
        return Digest.of(revision, sum());
    }

    private long sum() {
        long known = sum;
        if (known == 0) {
            for (Map.Entry<Parts.Key, byte[]> one : parts.entries().entrySet()) {
                known += Digest.of(one.getKey().table(), one.getKey().name(), one.getValue());
            }
            sum = known;
        }
        return known;
    }

    /**
     * Names of entries in which this one differs from {@code before}, byte for byte; what is known of that one's digest
     * is used here.
     */
    Set<Parts.Key> changedSince(Creed before) {
        Set<Parts.Key> changed = parts.changedSince(before.parts);
        if (sum == 0 && before.sum != 0) {
            long next = before.sum;
            for (Parts.Key key : changed) {
                next += Digest.of(key.table(), key.name(), entry(key))
                        - Digest.of(key.table(), key.name(), before.entry(key));
            }
            sum = next;
        }
        return changed;
    }

    /** As bytes, or null: it isn't there. */
    byte[] entry(Parts.Key key) {
        return parts.entry(key.table(), key.name());
    }

    Map<Parts.Key, byte[]> entries() {
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

    public Limits limits() {
        return limits;
    }
}
