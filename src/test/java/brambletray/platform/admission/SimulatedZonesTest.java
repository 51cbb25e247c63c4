package brambletray.platform.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * All queues of a deployment in simulated time: hundreds of thousands of events with one seed. {@link
 * SimulatedZonesMain} prints the results of others.
 */
class SimulatedZonesTest {
    /** 700 services whose instances have been stopped again: their queues have no timer left. */
    @Test
    void idleQueuesCostNothing() {
        SimulatedZones zones = new SimulatedZones(3, List.of("east"), 1, AdmissionParameters.of(0.2, 52, 10_000, 1));
        for (int i = 0; i < 700; i++) {
            zones.add(new ServiceSpec("rare" + i, 128, 500, 1, 1500));
            zones.add(new ServiceSpec("desk" + i, 512, 1400, 4, 300));
            SimulatedZones.RequestKind kind = new SimulatedZones.RequestKind("rare" + i, 1, 1500, 8000, 1, 0.3, 50, 0);
            zones.at(i, () -> zones.request(kind, "east"));
        }
        zones.runUntil(60_000);
        assertEquals(700, zones.inTime + zones.late);
        assertEquals(700, zones.instances.size(), "one warm instance of each slow-booting service stays");
        assertEquals(Long.MAX_VALUE, zones.homes.get("east").nextDueMs());
    }

    @Test
    void steadyAndBurstLoadIsServedInTimeAtBoundedCost() {
        AdmissionParameters parameters = AdmissionParameters.of(0.2, 52, 10_000, 3);
        for (double[] burst : new double[][] {{1, 1}, {2.3, 1}, {1, 2.9}}) {
            SimulatedZones zones =
                    SimulatedZonesMain.simulate(SimulatedZonesMain.LARGE, 11, parameters, burst[0], burst[1]);
            String seen = zones.figures(1.1, 0.45, 0.075);
            assertEquals(0, zones.overLimit, "rule LIMIT: " + seen);
            assertTrue(zones.unserved <= zones.requests / 500, seen);
            assertTrue(zones.value / zones.maxValue > 0.97, seen);
            assertTrue(zones.gbSeconds() < 650 && zones.starts < 560, seen);
        }
    }
}
