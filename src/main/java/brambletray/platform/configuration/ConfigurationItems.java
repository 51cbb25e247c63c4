package brambletray.platform.configuration;

import java.util.Map;

/** The items of a configuration that are understood: routes, services and tenants. For one thread. */
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

    /** Adds or replaces what this object lists; {@link ConfigurationException} where an item is invalid. */
    void putAll(JsonFields in) {
        routes.putAll(in);
        services.putAll(in);
        tenants.putAll(in);
    }

    /** Removes an item; one that isn't there, or of a table that is not understood, is gone already. */
    void remove(String table, String name) {
        ItemTable<?> items = tables.get(table);
        if (items != null) {
            items.remove(name);
        }
    }

    /** Applies an entry; one of a table that is not understood changes nothing here. */
    void apply(ConfigurationDelta.Entry entry) {
        ItemTable<?> items = tables.get(entry.table());
        if (items != null) {
            items.apply(entry);
        }
    }
}
