package brambletray.platform.provisioning;

/**
 * One host as the platform's list shows it ({@code GET /instances}). A host is there only once it has started; the list
 * lags by {@code lag-ms}.
 */
public record ListedInstance(String id, String service, String address, String zone, String worker, boolean draining) {}
