package brambletray.platform.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import brambletray.common.runtime.Machine;
import brambletray.common.simulation.Simulation;
import brambletray.platform.distribution.CoordinatorHeartbeat;
import brambletray.platform.distribution.FrameTypes;
import brambletray.platform.failuredetection.EdgeHello;
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

/** The hello that the edge program sends on each link to a control plane member. */
class EdgeHelloTest {
    private static final String SETTINGS =
            "node-name=edge-1\nrole=carry\nip-address=10.0.0.2\nzone=za\nzones.za=south\n"
                    + "bind-addresses.front-end=10.0.0.2:8241\nbind-addresses.readiness=10.0.0.2:8246\ninternal-port-range=7400,7415\n"
                    + "seed-peers=10.0.0.1:8248\n";

    @Test
    void helloCarriesTheHighestTermSeenByThisProcess() throws UnknownHostException {
        Simulation simulation = new Simulation(2, 0);
        Machine core = simulation.machine(InetAddress.getByName("10.0.0.1"));
        Machine edge = simulation.machine(InetAddress.getByName("10.0.0.2"));
        List<Long> terms = new ArrayList<>();
        new LinkListener(core, new FrameCodec(FrameTypes.ALL), new Address("10.0.0.1", 7_400), new LinkHandler() {
            @Override
            public void onLinkUp(Link link) {}

            @Override
            public void onFrame(Link link, Object frame) {
                if (frame instanceof EdgeHello hello) {
                    terms.add(hello.term());
                    link.send(new CoordinatorHeartbeat(9 - terms.size(), 0, 0));
                    core.loop().schedule(() -> link.close(), 200, TimeUnit.MILLISECONDS);
                }
            }

            @Override
            public void onLinkDown(Link link, String why) {}
        });
        SimulatedEdge[] simulatedEdge = new SimulatedEdge[1];
        edge.loop()
                .execute(() ->
                        simulatedEdge[0] = SimulatedEdge.start(SimulatedSettings.of(SETTINGS), edge, 1, code -> {}));
        simulation.runUntil(TimeUnit.SECONDS.toNanos(3));
        assertEquals(List.of(0L, 8L, 8L), terms.subList(0, 3));
        assertFalse(simulatedEdge[0].isReady(), "no configuration was received");
    }
}
