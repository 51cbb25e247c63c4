package brambletray.platform.edge;

import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.common.runtime.Machine;
import brambletray.common.simulation.SimNetwork;
import brambletray.common.simulation.Simulation;
import brambletray.platform.distribution.CoordinatorHeartbeat;
import brambletray.platform.distribution.FrameTypes;
import brambletray.platform.failuredetection.EdgeHello;
import brambletray.platform.failuredetection.EdgeWelcome;
import brambletray.platform.settings.Address;
import brambletray.platform.settings.SimulatedSettings;
import brambletray.platform.transport.FrameCodec;
import brambletray.platform.transport.Link;
import brambletray.platform.transport.LinkHandler;
import brambletray.platform.transport.LinkListener;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Wake-ups of an edge with a coordinator and no requests. Guards against needless timers, whose cost every idle edge
 * pays all the time.
 *
 * <pre>
 *   ms           0      200    250    400    500    600
 *   coordinator  hb            hb            hb            each 250 ms
 *   edge         tick   tick   read   tick   read   tick   each 200 ms, and at each heartbeat
 * </pre>
 */
class IdleEdgeTest {
    private static final String CORE = "10.0.0.1:7400";
    private static final int COORDINATOR_HEARTBEATS_PER_S = 4;
    private static final int EDGE_INTERVALS_PER_S = 5;
    private static final int SECONDS = 10;
    /** Allows for log lines with metrics and for events left over from the start. */
    private static final int TOLERANCE = 5;

    private final Simulation simulation = new Simulation(7, 0);
    private final List<Link> edges = new ArrayList<>();
    private int eventCount;

    private static InetAddress ip(String text) {
        try {
            return InetAddress.getByName(text);
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException(e);
        }
    }

    @Test
    void idleEdgeWakesUpForItsTicksAndHeartbeatsOnly() {
        simulation.network().usual(new SimNetwork.Way(TimeUnit.MILLISECONDS.toNanos(2), 0));
        startCoordinator();
        startEdge();
        simulation.runUntil(TimeUnit.SECONDS.toNanos(2));
        simulation.runUntil(TimeUnit.SECONDS.toNanos(2 + SECONDS), () -> {
            eventCount++;
            return false;
        });
        // Each heartbeat takes three events: the coordinator sends it, the edge reads it, the acknowledgement returns.
        int needed = (3 * COORDINATOR_HEARTBEATS_PER_S + EDGE_INTERVALS_PER_S) * SECONDS;
        assertTrue(
                eventCount <= needed + TOLERANCE, eventCount + " events in " + SECONDS + " s, " + needed + " needed");
    }

    private void startEdge() {
        Machine machine = simulation.machine(ip("10.0.1.1"));
        machine.loop()
                .execute(() -> SimulatedEdge.start(
                        SimulatedSettings.of("node-name=edge-1\nrole=edge\nhardware-class=edge\nserved-roles=edge"
                                + "\nip-address=10.0.1.1\nzone=z1\nregion=r\nzones.z1=r"
                                + "\nbind-addresses.front-end=10.0.1.1:8241\nbind-addresses.readiness=10.0.1.1:8246"
                                + "\ninternal-port-range=7400,7415\nseed-peers=10.0.0.1:8248\ninitial-start=true"
                                + "\nloss-counted=false\nfault-tolerance.machine-losses=0\n"),
                        machine,
                        5,
                        code -> {}));
    }

    private void startCoordinator() {
        Machine machine = simulation.machine(ip("10.0.0.1"));
        new LinkListener(machine, new FrameCodec(FrameTypes.ALL), Address.parse(CORE), new Coordinator());
        machine.loop()
                .scheduleWithFixedDelay(
                        () -> edges.forEach(link -> link.send(new CoordinatorHeartbeat(1, 0, 0))),
                        1_000 / COORDINATOR_HEARTBEATS_PER_S,
                        1_000 / COORDINATOR_HEARTBEATS_PER_S,
                        TimeUnit.MILLISECONDS);
    }

    private final class Coordinator implements LinkHandler {
        @Override
        public void onLinkUp(Link link) {}

        @Override
        public void onFrame(Link link, Object frame) {
            if (frame instanceof EdgeHello) {
                link.send(new EdgeWelcome(CORE, 1, true, 1, List.of(CORE), 0, 0));
                edges.add(link);
            }
        }

        @Override
        public void onLinkDown(Link link, String why) {
            edges.remove(link);
        }
    }
}
