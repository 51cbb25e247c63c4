package brambletray.platform.proxy;

import brambletray.platform.configuration.Configuration;

/** Where requests find the configuration that they are served by. On the loop only. */
@FunctionalInterface
public interface ConfigurationSource {
    /** The configuration that applies now. */
    Configuration current();

    /**
     * Whether a newer one may be in force elsewhere: one is announced and has not come yet, or nobody announces any. A
     * request that {@link #current} does not allow may be allowed then. A fixed configuration is never outdated.
     */
    default boolean mayBeOutdated() {
        return false;
    }
}
