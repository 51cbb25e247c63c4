package brambletray.platform.proxy;

/**
 * What all exchanges of one request with instances have in common.
 *
 * @param id of the client's attempt
 * @param requiresOpenConnection whether it may go out only on a connection that is certainly open
 * @param maxConnections to one instance
 */
record HostCallContext(
        ClientRequest clientRequest,
        String id,
        boolean requiresOpenConnection,
        int maxConnections,
        MemoryBudget memoryBudget) {}
