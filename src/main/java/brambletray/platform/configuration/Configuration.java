package brambletray.platform.configuration;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One revision of the operators' configuration (page PROTOCOL, The operator): valid and immutable. Fields that are
 * not understood are stored and shown. Thread-safe.
 */
public final class Configuration {
    /** Revision 0: nothing is routed. The first configuration builds on it. */
    public static final Configuration NONE =
            new Configuration(0, new ConfigurationItems(), ClientLimits.DEFAULTS, new ConfigurationDocument());

    private static final String REVISION = "revision";
    private static final String LIMITS = "limits";

    private final long revision;
    /** Not changed any more. */
    private final ConfigurationItems items;

    private final ClientLimits limits;
    private final RouteTable routeTable;
    private final TenantTable tenantTable;
    private final ConfigurationDocument document;
    /** Over all entries; 0: not counted yet. Two threads that count it at once find the same. */
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
     * Reads the body of a replacement; {@link ConfigurationException} where it is invalid. {@link #requireNewerThan}
     * compares its revision.
     */
    public static Configuration read(byte[] body) {
        JsonFields in = JsonFields.from("", ConfigurationJson.parse(body).content());
        long revision = in.requiredLong(REVISION, 1, Long.MAX_VALUE);
        for (String table : List.of(ConfigurationDocument.ROUTES, ConfigurationDocument.SERVICES)) {
            if (!in.has(table)) {
                throw in.error("missing", table, "expected a list, is missing");
            }
        }
        ConfigurationDocument document = new ConfigurationDocument();
        for (String field : in.fieldNames()) {
            if (!field.equals(REVISION)) {
                document.put(field, in.rawValue(field), body);
            }
        }
        ConfigurationItems items = new ConfigurationItems();
        items.putAll(in);
        return new Configuration(
                revision,
                items,
                in.has(LIMITS) ? ClientLimits.from(in.object(LIMITS)) : ClientLimits.DEFAULTS,
                document);
    }

    /** This one, if its revision is above the current one's; else {@link ConfigurationException}. */
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
     * This one with named items added, replaced ({@code upsert}) and removed ({@code withdraw}); fields of
     * {@code upsert} without items, as limits, are replaced, those of an object one by one. A name to remove that
     * isn't there is gone already. {@link ConfigurationException} where the change is invalid, or what would become of
     * it.
     */
    public Configuration modify(byte[] body) {
        JsonFields in = JsonFields.from("", ConfigurationJson.parse(body).content());
        long next = in.requiredLong(REVISION, 1, Long.MAX_VALUE);
        ConfigurationDocument changed = document.copy();
        ConfigurationItems nextItems = items.copy();
        ClientLimits nextLimits = limits;
        Set<String> set = new HashSet<>();
        if (in.has("upsert")) {
            JsonFields upsert = in.object("upsert");
            nextItems.putAll(upsert);
            for (String field : upsert.fieldNames()) {
                if (upsert.has(field)) {
                    changed.put(field, upsert.rawValue(field), body);
                    set.addAll(ConfigurationDocument.namedItemPaths(field, upsert.value(field)));
                }
            }
            if (upsert.has(LIMITS)) {
                nextLimits = ClientLimits.from(JsonFields.from(
                        LIMITS, ConfigurationJson.parse(changed.field(LIMITS)).content()));
            }
        }
        if (in.has("withdraw")) {
            withdraw(in.object("withdraw"), set, changed, nextItems);
        }
        return new Configuration(next, nextItems, nextLimits, changed).requireNewerThan(this);
    }

    private static void withdraw(
            JsonFields in, Set<String> set, ConfigurationDocument changed, ConfigurationItems items) {
        for (String table : in.fieldNames()) {
            List<ConfigurationJson.Value> names = in.list(table);
            for (int i = 0; names != null && i < names.size(); i++) {
                if (!(names.get(i).content() instanceof String name)) {
                    throw in.error("wrong-type", table + '[' + i + ']', "expected a name");
                }
                if (set.contains(table + '/' + name)) {
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
     * Applies a change ({@link ChangeDecision.Proposable#encodedChange}), which is far smaller than the
     * configuration. {@link ConfigurationException} {@code configuration.stale} where the change builds on another
     * revision: ask for the full configuration then.
     */
    public Configuration apply(byte[] change) {
        return ConfigurationChange.decode(change).applyTo(this);
    }

    /** {@link #json} packed, for a slow or dear link. */
    public byte[] toCompressedBytes() {
        return DeltaCompression.compress(json());
    }

    /** From {@link #toCompressedBytes}; {@link ConfigurationException}. */
    public static Configuration fromCompressedBytes(byte[] packed) {
        return read(DeltaCompression.decompress(packed));
    }

    /**
     * Applies a delta, entry by entry; one with base 0 holds a full configuration and is applied to nothing. {@link
     * ConfigurationException} {@code configuration.stale} where it builds on another revision, {@code
     * configuration.not-newer} where it leads to no later one, {@code configuration.digest} where the result is not
     * what the sender has, and the other codes where an entry cannot be read: ask for the full configuration then.
     */
    public Configuration apply(ConfigurationDelta delta) {
        if (delta.baseRevision() != 0 && delta.baseRevision() != revision) {
            throw new ConfigurationException(
                    "stale", "", "expected a difference from " + revision + ", found one from " + delta.baseRevision());
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
        long nextSum = computeEntryDigestSum();
        for (ConfigurationDelta.Entry entry : delta.entries()) {
            nextSum += ConfigurationDigest.of(entry)
                    - ConfigurationDigest.of(entry.table(), entry.name(), document.entry(entry.table(), entry.name()));
            changed.set(entry.table(), entry.name(), entry.body());
            nextItems.apply(entry);
        }
        ClientLimits nextLimits =
                changed.field(LIMITS) == document.field(LIMITS) ? limits : limits(changed.field(LIMITS));
        Configuration next = new Configuration(delta.revision(), nextItems, nextLimits, changed);
        next.entryDigestSum = nextSum;
        return next;
    }

    private static ClientLimits limits(byte[] field) {
        return field == null || field[0] != '{'
                ? ClientLimits.DEFAULTS
                : ClientLimits.from(
                        JsonFields.from(LIMITS, ConfigurationJson.parse(field).content()));
    }

    /**
     * The same for the same content, whatever the order of its entries: 64 bits over the revision and the sum over all
     * entries.
     */
    public long digest() {
        return ConfigurationDigest.of(revision, computeEntryDigestSum());
    }

    private long computeEntryDigestSum() {
        long known = entryDigestSum;
        if (known == 0) {
            for (Map.Entry<ConfigurationDocument.Key, byte[]> one :
                    document.entries().entrySet()) {
                known += ConfigurationDigest.of(
                        one.getKey().table(), one.getKey().name(), one.getValue());
            }
            entryDigestSum = known;
        }
        return known;
    }

    /**
     * Names of entries in which this one differs from {@code before}, byte for byte; what is known of that one's digest
     * is used here.
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

    /** As bytes, or null: it isn't there. */
    byte[] entry(ConfigurationDocument.Key key) {
        return document.entry(key.table(), key.name());
    }

    Map<ConfigurationDocument.Key, byte[]> entries() {
        return document.entries();
    }

    /**
     * The route for a request: of those of its host (any case, with or without port) the one with the longest prefix;
     * null: 404.
     */
    public Route match(CharSequence host, String path) {
        return routeTable.match(host, path);
    }

    /** The configuration as JSON, with fields that are not understood; made anew at each call. */
    public byte[] json() {
        return document.json(revision);
    }

    /** Its revision; 0 for {@link #NONE}. */
    public long revision() {
        return revision;
    }

    /** By name, in the order in which they came. */
    public Map<String, Route> routes() {
        return items.routes();
    }

    /** By name, in the order in which they came. */
    public Map<String, Service> services() {
        return items.services();
    }

    /** By name, in the order in which they came; empty: no request needs a key. */
    public Map<String, Tenant> tenants() {
        return items.tenants();
    }

    /** The tenant that holds this API key; null: nobody does. */
    public Tenant tenantForKey(String key) {
        return tenantTable.find(key);
    }

    /** What clients may send. */
    public ClientLimits limits() {
        return limits;
    }
}
