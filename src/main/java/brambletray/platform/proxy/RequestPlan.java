package brambletray.platform.proxy;

/**
 * What one request asks for. {@code end}: when its time is over, ms of the steady clock; {@code mostHosts}: to how many
 * hosts it may be sent ({@code retry-count}, 1 at least); {@code targetMs}: its aim, ms; {@code inner}: a host of ours
 * calls.
 */
record RequestPlan(
        String service,
        boolean idempotent,
        int maxInstances,
        int priority,
        int targetMs,
        boolean nestedCall,
        long deadlineMs) {}
