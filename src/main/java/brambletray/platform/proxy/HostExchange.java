package brambletray.platform.proxy;

import brambletray.platform.admission.AttemptOutcome;
import io.netty.buffer.ByteBuf;

/** One request sent to one host; connects its {@link RequestDriver} to the host connection. */
final class HostExchange implements HostCall {
    private final RequestDriver driver;
    private final HostCallContext context;
    private final Attempt attempt;
    private final long hostDeadlineMs;
    private final SendPermit permit;
    /** The connection in use, or null. */
    private HostConnection connection;

    /** The connection used last, retained after the exchange has ended. */
    private HostConnection lastConnection;
    /** The complete response, until it is passed to the client. */
    private HostResponse response;
    /** The response that is streamed to the client while it arrives. */
    private HostResponse streamingResponse;

    HostExchange(RequestDriver driver, Attempt attempt, long hostDeadlineMs, SendPermit permit) {
        this.driver = driver;
        this.context = driver.hostCallContext();
        this.attempt = attempt;
        this.hostDeadlineMs = hostDeadlineMs;
        this.permit = permit;
    }

    /** The complete response; owned by the caller from now on. */
    HostResponse takeResponse() {
        HostResponse taken = response;
        response = null;
        return taken;
    }

    HostResponse streamingResponse() {
        return streamingResponse;
    }

    void releaseResponse() {
        HostResponse dropped = takeResponse();
        if (dropped != null) {
            dropped.release();
        }
    }

    void resume() {
        if (connection != null) {
            connection.resume();
        }
    }

    void cancel(HostConnectionPools pools) {
        permit.cancel();
        if (connection != null) {
            connection.cancel(this);
            connection = null;
        } else {
            pools.withdraw(this);
        }
        releaseResponse();
    }

    // ---- HostCall -------------------------------------------------------------------------------
    @Override
    public ClientRequest clientRequest() {
        return context.clientRequest();
    }

    @Override
    public String requestId() {
        return context.id();
    }

    @Override
    public String instanceId() {
        return attempt.grant.instanceId();
    }

    @Override
    public String address() {
        return attempt.grant.address();
    }

    @Override
    public boolean requiresOpenConnection() {
        return context.requiresOpenConnection();
    }

    @Override
    public boolean isBooting() {
        return attempt.grant.booting();
    }

    @Override
    public int maxConnections() {
        return context.maxConnections();
    }

    @Override
    public long hostDeadlineMs() {
        return hostDeadlineMs;
    }

    @Override
    public MemoryBudget memoryBudget() {
        return context.memoryBudget();
    }

    @Override
    public boolean wasSentOn(HostConnection on) {
        return driver.wasSentOn(on);
    }

    boolean usedConnection(HostConnection on) {
        return lastConnection == on;
    }

    @Override
    public boolean isStillWanted() {
        return driver.isStillWanted(attempt) && permit.isReady();
    }

    @Override
    public void onConnected(HostConnection on) {
        connection = on;
        lastConnection = on;
        driver.onConnected(attempt);
    }

    @Override
    public void onClosedUnsent() {
        connection = null;
    }

    @Override
    public void onSent() {
        permit.spend();
        driver.onSent(attempt);
    }

    @Override
    public void onUnreachable() {
        connection = null;
        driver.onUnreachable(attempt);
    }

    @Override
    public boolean onStreaming(HostResponse begun) {
        streamingResponse = begun;
        return driver.onStreaming(attempt);
    }

    @Override
    public boolean onContent(ByteBuf bytes) {
        return driver.onContent(bytes);
    }

    @Override
    public void onEnded(AttemptOutcome outcome, boolean withheld, HostResponse complete) {
        connection = null;
        response = streamingResponse == null ? complete : null;
        driver.onEnded(attempt, outcome, withheld, response);
    }
}
