package brambletray.platform.proxy;

import brambletray.platform.admission.AttemptOutcome;
import io.netty.buffer.ByteBuf;

/** A request at one of its hosts: between its {@link RequestDriver} and the connection. */
final class HostExchange implements HostCall {
    private final RequestDriver driver;
    private final Attempt attempt;
    private final long hostEnd;
    /** The connection that is at it, and the last that was. */
    private HostConnection line;

    private HostConnection last;
    /** Whole, and not yet given to the client. */
    private HostResponse answer;
    /** Given on while it comes. */
    private HostResponse coming;

    HostExchange(RequestDriver driver, Attempt attempt, long hostEnd) {
        this.driver = driver;
        this.attempt = attempt;
        this.hostEnd = hostEnd;
    }

    /** The whole answer; the caller's from now on. */
    HostResponse take() {
        HostResponse taken = answer;
        answer = null;
        return taken;
    }

    HostResponse coming() {
        return coming;
    }

    void drop() {
        HostResponse dropped = take();
        if (dropped != null) {
            dropped.drop();
        }
    }

    void resume() {
        if (line != null) {
            line.resume();
        }
    }

    void cancel(HostConnectionPools lines) {
        if (line != null) {
            line.cancel(this);
            line = null;
        } else {
            lines.withdraw(this);
        }
        drop();
    }

    // ---- Errand ---------------------------------------------------------------------------------
    @Override
    public ClientRequest clientRequest() {
        return driver.clientRequest();
    }

    @Override
    public String id() {
        return driver.id();
    }

    @Override
    public String host() {
        return attempt.grant.host();
    }

    @Override
    public String address() {
        return attempt.grant.address();
    }

    @Override
    public boolean careful() {
        return driver.careful();
    }

    @Override
    public boolean booting() {
        return attempt.grant.booting();
    }

    @Override
    public int mostLines() {
        return driver.mostLines();
    }

    @Override
    public long hostEnd() {
        return hostEnd;
    }

    @Override
    public MemoryBudget hold() {
        return driver.hold();
    }

    @Override
    public boolean met(HostConnection on) {
        return driver.met(on);
    }

    boolean wasOn(HostConnection on) {
        return last == on;
    }

    @Override
    public boolean wanted() {
        return driver.wanted(attempt);
    }

    @Override
    public void up(HostConnection on) {
        line = on;
        last = on;
        driver.up(attempt);
    }

    @Override
    public void down() {
        line = null;
    }

    @Override
    public void sent() {
        driver.sent(attempt);
    }

    @Override
    public void unreached() {
        line = null;
        driver.unreached(attempt);
    }

    @Override
    public boolean flow(HostResponse begun) {
        coming = begun;
        return driver.flowing(attempt);
    }

    @Override
    public boolean more(ByteBuf bytes) {
        return driver.more(bytes);
    }

    @Override
    public void ended(AttemptOutcome fate, boolean withheld, HostResponse whole) {
        line = null;
        answer = coming == null ? whole : null;
        driver.ended(attempt, fate, withheld);
    }
}
