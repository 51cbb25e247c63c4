package brambletray.tray.flow;

import brambletray.tray.home.Fate;
import io.netty.buffer.ByteBuf;

/** A request at one of its hosts: between its {@link Carriage} and the connection. */
final class Stop implements Errand {
    private final Carriage carriage;
    private final Leg leg;
    private final long hostEnd;
    /** The connection that is at it, and the last that was. */
    private HostConnection line;

    private HostConnection last;
    /** Whole, and not yet given to the client. */
    private Answer answer;
    /** Given on while it comes. */
    private Answer coming;

    Stop(Carriage carriage, Leg leg, long hostEnd) {
        this.carriage = carriage;
        this.leg = leg;
        this.hostEnd = hostEnd;
    }

    /** The whole answer; the caller's from now on. */
    Answer take() {
        Answer taken = answer;
        answer = null;
        return taken;
    }

    Answer coming() {
        return coming;
    }

    void drop() {
        Answer dropped = take();
        if (dropped != null) {
            dropped.drop();
        }
    }

    void resume() {
        if (line != null) {
            line.resume();
        }
    }

    void cancel(Lines lines) {
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
    public Parcel parcel() {
        return carriage.parcel();
    }

    @Override
    public String id() {
        return carriage.id();
    }

    @Override
    public String host() {
        return leg.grant.host();
    }

    @Override
    public String address() {
        return leg.grant.address();
    }

    @Override
    public boolean careful() {
        return carriage.careful();
    }

    @Override
    public boolean booting() {
        return leg.grant.booting();
    }

    @Override
    public int mostLines() {
        return carriage.mostLines();
    }

    @Override
    public long hostEnd() {
        return hostEnd;
    }

    @Override
    public MemoryBudget hold() {
        return carriage.hold();
    }

    @Override
    public boolean met(HostConnection on) {
        return carriage.met(on);
    }

    boolean wasOn(HostConnection on) {
        return last == on;
    }

    @Override
    public boolean wanted() {
        return carriage.wanted(leg);
    }

    @Override
    public void up(HostConnection on) {
        line = on;
        last = on;
        carriage.up(leg);
    }

    @Override
    public void down() {
        line = null;
    }

    @Override
    public void sent() {
        carriage.sent(leg);
    }

    @Override
    public void unreached() {
        line = null;
        carriage.unreached(leg);
    }

    @Override
    public boolean flow(Answer begun) {
        coming = begun;
        return carriage.flowing(leg);
    }

    @Override
    public boolean more(ByteBuf bytes) {
        return carriage.more(bytes);
    }

    @Override
    public void ended(Fate fate, boolean withheld, Answer whole) {
        line = null;
        answer = coming == null ? whole : null;
        carriage.ended(leg, fate, withheld);
    }
}
