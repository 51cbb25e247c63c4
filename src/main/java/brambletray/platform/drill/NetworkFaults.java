package brambletray.platform.drill;

import brambletray.common.simulation.SimChannel;
import brambletray.common.simulation.SimNetwork;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.List;

/** Cuts, slow links and resets of a course; each ends after its span, or when all is healed. */
final class NetworkFaults {
    private static final int OPERATORS = 4;
    private static final long NANOS_PER_MS = 1_000_000L;
    private static final double SLOW_JITTER = 0.5;

    /** Which directions a cut holds up, seen from its first machine. */
    enum Direction {
        BOTH,
        OUT,
        IN;

        private boolean out() {
            return this != IN;
        }

        private boolean in() {
            return this != OUT;
        }
    }

    private final SimulatedCluster cluster;
    /** What ends the faults that are in force. */
    private final List<Runnable> undo = new ArrayList<>();

    NetworkFaults(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    /** Ends all that is in force. */
    void heal() {
        List.copyOf(undo).forEach(Runnable::run);
    }

    /** Runs this once: after a span, ms, or when all is healed. */
    void later(int span, Runnable what) {
        Runnable[] once = new Runnable[1];
        once[0] = () -> {
            if (undo.remove(once[0])) {
                what.run();
            }
        };
        undo.add(once[0]);
        cluster.after(span, once[0]);
    }

    /** Cuts a machine off from the rest of the core. */
    void cutFromCore(CoreNode core, int span, Direction direction) {
        for (CoreNode other : cluster.cores) {
            if (other != core) {
                cut(core.address, other.address, span, direction);
            }
        }
    }

    /** Cuts a machine off from operators, and from the edges whose bit is not set. */
    void cutFromOutside(CoreNode core, int span, int drawn) {
        for (InetAddress other : outside(drawn)) {
            cut(core.address, other, span, Direction.BOTH);
        }
    }

    void cut(InetAddress one, InetAddress other, int span, Direction direction) {
        if (direction.out()) {
            cluster.cut(one, other);
        }
        if (direction.in()) {
            cluster.cut(other, one);
        }
        later(span, () -> {
            if (direction.out()) {
                cluster.join(one, other);
            }
            if (direction.in()) {
                cluster.join(other, one);
            }
        });
    }

    /** Operators reach this machine, and hear nothing of it. */
    void loseAnswers(CoreNode core, int span) {
        cluster.troubledLinks++;
        later(span, () -> cluster.troubledLinks--);
        for (InetAddress operator : outside(-1)) {
            cut(core.address, operator, span, Direction.OUT);
        }
    }

    void reset(CoreNode core) {
        cluster.disturb();
        cluster.simulation.network().at(core.address).forEach(SimChannel::breakBoth);
    }

    /** The links of this machine take so much longer, ms, for a span; {@code within}: only those to the core. */
    void slow(CoreNode core, int delayMs, boolean within, int span) {
        cluster.troubledLinks++;
        ways(core, within, new SimNetwork.Way(delayMs * NANOS_PER_MS, SLOW_JITTER));
        later(span, () -> {
            cluster.troubledLinks--;
            ways(core, within, SimulatedCluster.USUAL);
        });
    }

    private void ways(CoreNode core, boolean within, SimNetwork.Way way) {
        List<InetAddress> others = within ? new ArrayList<>() : outside(0);
        cluster.cores.forEach(other -> others.add(other.address));
        for (InetAddress other : others) {
            cluster.simulation.network().way(core.address, other, way);
            cluster.simulation.network().way(other, core.address, way);
        }
    }

    /** Operators, and of the edges those whose bit is not set. */
    private List<InetAddress> outside(int drawn) {
        List<InetAddress> outside = new ArrayList<>();
        for (int i = 1; i <= OPERATORS; i++) {
            outside.add(SimulatedCluster.ip(10, 9, 0, i));
        }
        for (int i = 0; i < cluster.edges.size(); i++) {
            if ((drawn >> 4 + i & 1) == 0) {
                outside.add(cluster.edges.get(i).address);
            }
        }
        return outside;
    }
}
