package brambletray.tray.carry;

import brambletray.runtime.Machine;
import brambletray.tray.berth.Berth;
import brambletray.tray.creed.Creed;
import java.util.function.IntConsumer;

/** The production {@link Carry}, whole, on a simulated machine. */
public final class SimCarry {
    private final Carry carry;

    private SimCarry(Carry carry) {
        this.carry = carry;
    }

    public static SimCarry start(Berth berth, Machine machine, long life, IntConsumer exit) {
        Carry carry = new Carry(berth, machine, life, exit);
        carry.open(berth.frontEnd(), berth.readiness());
        return new SimCarry(carry);
    }

    public Creed creed() {
        return carry.creed();
    }

    /** SIGHUP. */
    void hangUp() {
        carry.reread();
    }

    /** SIGTERM. */
    void terminate() {
        carry.leave();
    }

    public boolean ready() {
        return carry.ready();
    }
}
