package brambletray.platform.proxy;

import brambletray.platform.configuration.Configuration;

/** Provides the configuration by which requests are served. To be used on the loop only. */
@FunctionalInterface
public interface ConfigurationSource {
    /** The configuration in force. */
    Configuration current();

    /**
     * Whether a newer configuration may be in force elsewhere: one was announced but has not arrived, or no
     * announcements are received. In that case a request that {@link #current} denies may be allowed. A fixed
     * configuration is never outdated.
     */
    default boolean mayBeOutdated() {
        return false;
    }
}
