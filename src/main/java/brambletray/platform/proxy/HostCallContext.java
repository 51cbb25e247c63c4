package brambletray.platform.proxy;

/**
 * State shared by all exchanges of one request with instances.
 *
 * @param id attempt id sent by the client
 * @param requiresOpenConnection whether the request may be sent only on a connection that is certainly open
 * @param maxConnections maximum number of connections to one instance
 */
record HostCallContext(
        ClientRequest clientRequest,
        String id,
        boolean requiresOpenConnection,
        int maxConnections,
        MemoryBudget memoryBudget) {}
