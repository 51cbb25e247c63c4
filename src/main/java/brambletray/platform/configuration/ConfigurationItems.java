package brambletray.platform.configuration;

import java.util.Map;

/** The parsed items of the known tables of a configuration: routes, services and tenants. Not thread-safe. */
final class ConfigurationItems {
    private final ItemTable<Route> routes;
    private final ItemTable<Service> services;
    private final ItemTable<Tenant> tenants;
    private final Map<String, ItemTable<?>> tables;

    ConfigurationItems() {
        this(
                new ItemTable<>(ConfigurationDocument.ROUTES, Route::from),
                new ItemTable<>(ConfigurationDocument.SERVICES, Service::from),
                new ItemTable<>(ConfigurationDocument.TENANTS, Tenant::from));
    }

    private ConfigurationItems(ItemTable<Route> routes, ItemTable<Service> services, ItemTable<Tenant> tenants) {
        this.routes = routes;
        this.services = services;
        this.tenants = tenants;
        tables = Map.of(
                ConfigurationDocument.ROUTES, routes,
                ConfigurationDocument.SERVICES, services,
                ConfigurationDocument.TENANTS, tenants);
    }

    ConfigurationItems copy() {
        return new ConfigurationItems(routes.copy(), services.copy(), tenants.copy());
    }

    Map<String, Route> routes() {
        return routes.items();
    }

    Map<String, Service> services() {
        return services.items();
    }

    Map<String, Tenant> tenants() {
        return tenants.items();
    }

    /** Adds or replaces the items listed in this object. Throws {@link ConfigurationException} if one is invalid. */
    void putAll(JsonFields in) {
        routes.putAll(in);
        services.putAll(in);
        tenants.putAll(in);
    }

    /** Removes an item; no effect if it does not exist or the table is unknown. */
    void remove(String table, String name) {
        ItemTable<?> items = tables.get(table);
        if (items != null) {
            items.remove(name);
        }
    }

    /** Applies an entry of a delta; no effect if the table is unknown. */
    void apply(ConfigurationDelta.Entry entry) {
        ItemTable<?> items = tables.get(entry.table());
        if (items != null) {
            items.apply(entry);
        }
    }
}
