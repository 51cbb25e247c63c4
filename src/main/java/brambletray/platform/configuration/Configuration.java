package brambletray.platform.configuration;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One revision of the operators' configuration (page PROTOCOL, The operator). Instances are valid and immutable.
 * Unknown fields are preserved and included in {@link #json}. Thread-safe.
 */
public final class Configuration {
    /** The empty configuration, revision 0, without routes: the base of the first configuration. */
    public static final Configuration NONE =
            new Configuration(0, new ConfigurationItems(), ClientLimits.DEFAULTS, new ConfigurationDocument());

    private static final String REVISION = ConfigurationDocument.REVISION;
    private static final String LIMITS = "limits";

    private final long revision;
    /** Not modified after construction. */
    private final ConfigurationItems items;

    private final ClientLimits limits;
    private final RouteTable routeTable;
    private final TenantTable tenantTable;
    private final ConfigurationDocument document;
    /**
     * Sum of the digests of all entries; 0 if not computed yet. The race between threads that compute it at the same
     * time is benign, as they get the same value.
     */
    private long entryDigestSum;

    private Configuration(
            long revision, ConfigurationItems items, ClientLimits limits, ConfigurationDocument document) {
        this.revision = revision;
        this.items = items;
        this.limits = limits;
        this.document = document;
        if (document.maxJsonBytes() > ConfigurationJson.MAX_BODY_BYTES) {
            throw ConfigurationJson.tooLarge(document.maxJsonBytes());
        }
        requireKnownServices(items);
        routeTable = new RouteTable(items.routes().values());
        tenantTable = new TenantTable(items.tenants().values());
    }

    private static void requireKnownServices(ConfigurationItems items) {
        for (Route route : items.routes().values()) {
            for (ServiceShare share : route.shares()) {
                if (!items.services().containsKey(share.service())) {
                    throw new ConfigurationException(
                            "unknown-service",
                            "routes[" + ConfigurationJson.abbreviate(route.name()) + "].service",
                            "expected a service of the configuration, found "
                                    + ConfigurationJson.abbreviate(share.service()));
                }
            }
        }
    }

    /**
     * Parses the body of a complete replacement. Throws {@link ConfigurationException} if it is invalid. The revision
     * is compared with the current one by {@link #requireNewerThan}.
     */
    public static Configuration read(byte[] body) {
        return read(ConfigurationJson.parse(body), body);
    }

    /**
     * Parses what {@link #json} returned in this or an earlier version. Earlier versions wrote a second revision where
     * an operator's upsert held one; the first is that of the configuration.
     */
    static Configuration readStored(byte[] json) {
        return read(ConfigurationJson.parseKeepingFirst(REVISION, json), json);
    }

    private static Configuration read(ConfigurationJson.Value parsed, byte[] body) {
        JsonFields in = JsonFields.from("", parsed.content());
        long revision = in.requiredLong(REVISION, 1, Long.MAX_VALUE);
        for (String table : List.of(ConfigurationDocument.ROUTES, ConfigurationDocument.SERVICES)) {
            if (!in.has(table)) {
                throw in.error("missing", table, "expected a list, is missing");
            }
        }
        ConfigurationDocument document = new ConfigurationDocument();
        for (String field : in.fieldNames()) {
            document.put(field, in.rawValue(field), body);
        }
        ConfigurationItems items = new ConfigurationItems();
        items.putAll(in);
        return new Configuration(
                revision,
                items,
                in.has(LIMITS) ? ClientLimits.from(in.object(LIMITS)) : ClientLimits.DEFAULTS,
                document);
    }

    /**
     * Returns this configuration. Throws {@link ConfigurationException} unless its revision is above that of {@code
     * current}.
     */
    public Configuration requireNewerThan(Configuration current) {
        if (revision <= current.revision) {
            throw new ConfigurationException(
                    "old-revision",
                    REVISION,
                    "expected more than the current " + current.revision + ", found " + revision);
        }
        return this;
    }

    /**
     * Returns a copy with named items added or replaced ({@code upsert}) and removed ({@code withdraw}). Fields of
     * {@code upsert} that hold no named items, such as limits, are replaced; if both the old and the new value are
     * objects, they are merged field by field. A revision in {@code upsert}, as in a whole configuration that is sent
     * as {@code upsert}, is ignored. Removing a name that does not exist has no effect. Throws {@link
     * ConfigurationException} if the change or the resulting configuration is invalid.
     */
    public Configuration modify(byte[] body) {
        JsonFields in = JsonFields.from("", ConfigurationJson.parse(body).content());
        long next = in.requiredLong(REVISION, 1, Long.MAX_VALUE);
        ConfigurationDocument changed = document.copy();
        ConfigurationItems nextItems = items.copy();
        ClientLimits nextLimits = limits;
        Set<String> upsertedItems = new HashSet<>();
        if (in.has("upsert")) {
            JsonFields upsert = in.object("upsert");
            nextItems.putAll(upsert);
            requireObjectIfPresent(upsert, LIMITS);
            for (String field : upsert.fieldNames()) {
                if (upsert.has(field)) {
                    changed.put(field, upsert.rawValue(field), body);
                    upsertedItems.addAll(ConfigurationDocument.namedItemPaths(field, upsert.value(field)));
                }
            }
            if (upsert.has(LIMITS)) {
                nextLimits = ClientLimits.from(JsonFields.from(
                        LIMITS, ConfigurationJson.parse(changed.field(LIMITS)).content()));
            }
        }
        if (in.has("withdraw")) {
            withdraw(in.object("withdraw"), upsertedItems, changed, nextItems);
        }
        return new Configuration(next, nextItems, nextLimits, changed).requireNewerThan(this);
    }

    /** Guards against a list of named items, which the document would keep as a table and not as a field. */
    private static void requireObjectIfPresent(JsonFields in, String field) {
        if (in.has(field)) {
            in.object(field);
        }
    }

    private static void withdraw(
            JsonFields in, Set<String> upsertedItems, ConfigurationDocument changed, ConfigurationItems items) {
        for (String table : in.fieldNames()) {
            List<ConfigurationJson.Value> names = in.list(table);
            for (int i = 0; names != null && i < names.size(); i++) {
                if (!(names.get(i).content() instanceof String name)) {
                    throw in.error("wrong-type", table + '[' + i + ']', "expected a name");
                }
                if (upsertedItems.contains(table + '/' + name)) {
                    throw in.error(
                            "ambiguous",
                            table + '[' + i + ']',
                            "expected a name that isn't in upsert too, found " + ConfigurationJson.abbreviate(name));
                }
                changed.remove(table, name);
                items.remove(table, name);
            }
        }
    }

    /**
     * Applies an encoded change ({@link ChangeDecision.Proposable#encodedChange}), which is far smaller than the
     * configuration. Throws {@link ConfigurationException} with code {@code configuration.stale} if the change builds
     * on another revision; the caller then has to request the full configuration.
     */
    public Configuration apply(byte[] change) {
        return ConfigurationChange.decode(change).applyTo(this);
    }

    /** Returns {@link #json} compressed, for a slow or expensive link. */
    public byte[] toCompressedBytes() {
        return DeltaCompression.compress(json());
    }

    /** Parses the result of {@link #toCompressedBytes}. Throws {@link ConfigurationException} if it is invalid. */
    public static Configuration fromCompressedBytes(byte[] compressed) {
        return read(DeltaCompression.decompress(compressed));
    }

    /**
     * Applies a delta entry by entry. A delta with base revision 0 holds a full configuration and is applied to {@link
     * #NONE}. Throws {@link ConfigurationException} with code {@code configuration.stale} if the delta builds on
     * another revision, {@code configuration.not-newer} if its revision is not above this one, {@code
     * configuration.digest} if the digest of the result differs from the sender's, or another code if an entry is
     * invalid; the caller then has to request the full configuration.
     */
    public Configuration apply(ConfigurationDelta delta) {
        if (delta.baseRevision() != 0 && delta.baseRevision() != revision) {
            throw new ConfigurationException(
                    "stale",
                    "",
                    "expected a delta from revision " + revision + ", found one from revision " + delta.baseRevision());
        }
        if (delta.revision() <= revision) {
            throw new ConfigurationException(
                    "not-newer", "", "expected a revision above " + revision + ", found " + delta.revision());
        }
        Configuration next = delta.baseRevision() == 0 ? NONE.applyEntries(delta) : applyEntries(delta);
        if (next.digest() != delta.digest()) {
            throw new ConfigurationException(
                    "digest",
                    "",
                    "expected the digest " + Long.toHexString(delta.digest()) + " of revision " + delta.revision()
                            + ", found " + Long.toHexString(next.digest()));
        }
        return next;
    }

    private Configuration applyEntries(ConfigurationDelta delta) {
        ConfigurationDocument changed = document.copy();
        ConfigurationItems nextItems = items.copy();
        long nextDigestSum = computeEntryDigestSum();
        for (ConfigurationDelta.Entry entry : delta.entries()) {
            nextDigestSum += ConfigurationDigest.of(entry)
                    - ConfigurationDigest.of(entry.table(), entry.name(), document.entry(entry.table(), entry.name()));
            changed.set(entry.table(), entry.name(), entry.body());
            nextItems.apply(entry);
        }
        ClientLimits nextLimits =
                changed.field(LIMITS) == document.field(LIMITS) ? limits : limits(changed.field(LIMITS));
        Configuration next = new Configuration(delta.revision(), nextItems, nextLimits, changed);
        next.entryDigestSum = nextDigestSum;
        return next;
    }

    private static ClientLimits limits(byte[] field) {
        return field == null || field[0] != '{'
                ? ClientLimits.DEFAULTS
                : ClientLimits.from(
                        JsonFields.from(LIMITS, ConfigurationJson.parse(field).content()));
    }

    /**
     * A 64-bit digest of the revision and the sum of the entries' digests. It does not depend on the order of the
     * entries.
     */
    public long digest() {
        return ConfigurationDigest.of(revision, computeEntryDigestSum());
    }

    private long computeEntryDigestSum() {
        long sum = entryDigestSum;
        if (sum == 0) {
            for (Map.Entry<ConfigurationDocument.Key, byte[]> entry :
                    document.entries().entrySet()) {
                sum += ConfigurationDigest.of(
                        entry.getKey().table(), entry.getKey().name(), entry.getValue());
            }
            entryDigestSum = sum;
        }
        return sum;
    }

    /**
     * The keys of entries that are not byte-for-byte equal in this configuration and {@code before}. If the digest sum
     * of {@code before} is known, the sum of this configuration is derived from it, at the cost of the changed entries
     * only.
     */
    Set<ConfigurationDocument.Key> changedSince(Configuration before) {
        Set<ConfigurationDocument.Key> changed = document.changedSince(before.document);
        if (entryDigestSum == 0 && before.entryDigestSum != 0) {
            long next = before.entryDigestSum;
            for (ConfigurationDocument.Key key : changed) {
                next += ConfigurationDigest.of(key.table(), key.name(), entry(key))
                        - ConfigurationDigest.of(key.table(), key.name(), before.entry(key));
            }
            entryDigestSum = next;
        }
        return changed;
    }

    /** The entry's bytes, or null if it does not exist. */
    byte[] entry(ConfigurationDocument.Key key) {
        return document.entry(key.table(), key.name());
    }

    Map<ConfigurationDocument.Key, byte[]> entries() {
        return document.entries();
    }

    /**
     * The route for a request: the one with the longest matching prefix among those of its host (case-insensitive, with
     * or without port). Null if there is none, which is answered with 404.
     */
    public Route match(CharSequence host, String path) {
        return routeTable.match(host, path);
    }

    /** The configuration as JSON, including unknown fields. Serialized anew at each call. */
    public byte[] json() {
        return document.json(revision);
    }

    /** The revision; 0 for {@link #NONE}. */
    public long revision() {
        return revision;
    }

    /** Routes by name, in insertion order. */
    public Map<String, Route> routes() {
        return items.routes();
    }

    /** Services by name, in insertion order. */
    public Map<String, Service> services() {
        return items.services();
    }

    /** Tenants by name, in insertion order. If there are none, no request needs an API key. */
    public Map<String, Tenant> tenants() {
        return items.tenants();
    }

    /** The tenant that holds this API key, or null if none does. */
    public Tenant tenantForKey(String key) {
        return tenantForKey(KeyDigest.of(key));
    }

    /** The tenant that holds the API key with this digest, or null if none does. */
    public Tenant tenantForKey(KeyDigest digest) {
        return tenantTable.find(digest);
    }

    /** Name of the tenant that holds the API key with this digest; empty if none does. */
    public String tenantNameForKey(KeyDigest digest) {
        Tenant tenant = tenantForKey(digest);
        return tenant == null ? "" : tenant.name();
    }

    /** Limits for client requests and connections. */
    public ClientLimits limits() {
        return limits;
    }
}
