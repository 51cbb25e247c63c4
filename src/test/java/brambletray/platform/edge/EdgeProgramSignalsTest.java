package brambletray.platform.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import brambletray.common.runtime.Machine;
import brambletray.common.simulation.Simulation;
import brambletray.platform.settings.SimulatedSettings;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** How the edge program handles signals, in simulated time. */
class EdgeProgramSignalsTest {
    private static final String SETTINGS =
            "node-name=edge-1\nrole=carry\nip-address=10.0.0.2\nzone=za\nzones.za=south\n"
                    + "bind-addresses.front-end=10.0.0.2:8241\nbind-addresses.readiness=10.0.0.2:8246\ninternal-port-range=7400,7415\n"
                    + "seed-peers=10.0.0.1:8248\nbounds.grace-s=6\n";

    private final Simulation simulation = new Simulation(3, 0);
    private final List<String> exits = new ArrayList<>();
    private final SimulatedEdge[] simulatedEdge = new SimulatedEdge[1];
    private Machine edge;

    @BeforeEach
    void start() throws UnknownHostException {
        edge = simulation.machine(InetAddress.getByName("10.0.0.2"));
        edge.loop()
                .execute(() -> simulatedEdge[0] = SimulatedEdge.start(
                        SimulatedSettings.of(SETTINGS),
                        edge,
                        1,
                        code -> exits.add(code + " at " + TimeUnit.NANOSECONDS.toMillis(simulation.now()))));
        runUntil(1_000);
    }

    private void runUntil(long ms) {
        simulation.runUntil(TimeUnit.MILLISECONDS.toNanos(ms));
    }

    private void signalAt(long ms, Runnable signal) {
        runUntil(ms);
        edge.loop().execute(signal);
    }

    @Test
    void repeatedTerminateSignalIsIgnored() {
        signalAt(1_000, simulatedEdge[0]::terminate);
        signalAt(1_500, simulatedEdge[0]::terminate);
        signalAt(3_000, simulatedEdge[0]::terminate);
        runUntil(20_000);
        assertEquals(List.of("0 at 3600"), exits);
    }

    @Test
    void hangupDoesNotEndTheProcess() {
        signalAt(1_000, simulatedEdge[0]::reloadSettings);
        signalAt(1_010, simulatedEdge[0]::reloadSettings);
        runUntil(20_000);
        assertEquals(List.of(), exits);
    }

    @Test
    void hangupDuringShutdownIsIgnored() {
        signalAt(1_000, simulatedEdge[0]::terminate);
        signalAt(1_500, simulatedEdge[0]::reloadSettings);
        runUntil(20_000);
        assertEquals(List.of("0 at 3600"), exits);
        assertFalse(simulatedEdge[0].isReady());
    }
}
