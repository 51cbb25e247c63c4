package brambletray.common.simulation;

import brambletray.common.runtime.Clock;
import brambletray.common.runtime.Machine;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Many machines on one thread in simulated time: each has an event loop and an address of its own, all
 * share one ticker and one {@link SimNetwork}. Time stands still while anything is to be done at an
 * instant, and then jumps to the next timer. The same seed and the same programs give the same bytes at the
 * same instants; {@link #trace} is a hash over all of them.
 */
public final class Simulation {
    /** ns; the ticker does not begin at 0, which some code takes for "never". */
    private static final long BEGIN = TimeUnit.SECONDS.toNanos(1);
    /** Steps at one instant before the simulation is held to be caught in a loop. */
    private static final int STEPS_MOST = 1_000_000;

    private final MockTicker ticker = Ticker.newMockTicker();
    private final Clock clock;
    private final SimNetwork network;
    private final List<SimLoop> loops = new ArrayList<>();
    private final long seed;
    private SimLoop running;
    private long trace = 0xcbf29ce484222325L;
    private long events;

    /** {@code seed}: for the network's jitter; {@code unixMillis}: what the wall clocks show at the start. */
    public Simulation(long seed, long unixMillis) {
        this.seed = seed;
        ticker.advance(BEGIN, TimeUnit.NANOSECONDS);
        clock = Clock.of(ticker, unixMillis);
        network = new SimNetwork(this, new SplittableRandom(seed));
    }

    /** The seed of all that is drawn in this simulation. */
    public long seed() {
        return seed;
    }

    /** The network that all simulated machines share. */
    public SimNetwork network() {
        return network;
    }

    /** The simulated clock. */
    public Clock clock() {
        return clock;
    }

    /** A new machine at an address; several programs may share one address, each with a loop of its own. */
    public Machine machine(InetAddress address) {
        SimLoop loop = new SimLoop(ticker);
        loops.add(loop);
        return new Machine(
                loop,
                clock,
                () -> new SimChannel(network, address),
                () -> new SimServerChannel(network, false),
                () -> new SimServerChannel(network, true));
    }

    /**
     * The process on this machine ends as by SIGKILL: nothing of it runs any more, its connections are
     * reset and its listeners are gone.
     */
    public void kill(Machine machine) {
        loops.remove((SimLoop) machine.loop());
        ((SimLoop) machine.loop()).freeze(ticker.nanoTime());
        network.resetAll(machine.loop());
    }

    /** The process on this machine stands still until it is thawed. */
    public void freeze(Machine machine) {
        ((SimLoop) machine.loop()).freeze(Long.MAX_VALUE);
    }

    /** It goes on. */
    public void thaw(Machine machine) {
        ((SimLoop) machine.loop()).freeze(ticker.nanoTime());
    }

    /** Whose turn it is, or null between turns. */
    public EventLoop running() {
        return running;
    }

    /**
     * The process on this machine stands still for so long, ns, as under SIGSTOP: none of its code runs,
     * while its connections stay open and take in what comes. When it goes on, what has come meanwhile is
     * read first, and then the timers fire that are late.
     */
    public void freeze(Machine machine, long nanos) {
        ((SimLoop) machine.loop()).freeze(ticker.nanoTime() + nanos);
    }

    /** Simulated time since the start; ns. */
    public long now() {
        return ticker.nanoTime() - BEGIN;
    }

    /** Runs until this much simulated time has passed since the start; ns. */
    public void runUntil(long until) {
        runUntil(until, () -> false);
    }

    /** Runs until then, or until the condition holds; true if it does. */
    public boolean runUntil(long until, BooleanSupplier condition) {
        while (true) {
            settle();
            if (condition.getAsBoolean()) {
                return true;
            }
            long next = Long.MAX_VALUE;
            for (SimLoop loop : loops) {
                next = Math.min(next, loop.nextDeadline());
            }
            if (next == Long.MAX_VALUE || next - BEGIN > until) {
                advance(until + BEGIN);
                return false;
            }
            advance(next);
        }
    }

    private void advance(long to) {
        long by = to - ticker.nanoTime();
        if (by > 0) {
            ticker.advance(by, TimeUnit.NANOSECONDS);
        }
    }

    /** Does all that is to be done at this instant; loops take turns in the order in which they were made. */
    private void settle() {
        int steps = 0;
        int ran;
        do {
            ran = 0;
            for (int i = 0; i < loops.size(); i++) {
                running = loops.get(i);
                ran += running.step();
            }
            running = null;
            steps += ran;
            if (steps > STEPS_MOST) {
                throw new IllegalStateException(
                        "time stands still at " + now() + " ns: " + STEPS_MOST + " steps at one instant");
            }
        } while (ran > 0);
    }

    /** Adds an event to the trace, with its time. */
    void note(int kind, long from, long to, byte[] bytes) {
        events++;
        mix(now());
        mix(kind);
        mix(from);
        mix(to);
        long content = 1;
        for (byte b : bytes) {
            content = content * 31 + b;
        }
        mix(content);
    }

    private void mix(long value) {
        // FNV-1a on words, with a shift so that high bits reach low ones.
        trace = (trace ^ value) * 0x100000001b3L;
        trace ^= trace >>> 29;
    }

    /** A hash of all that has passed on the network, with its times. */
    public long trace() {
        return trace;
    }

    /** How many events the trace holds. */
    public long events() {
        return events;
    }
}
