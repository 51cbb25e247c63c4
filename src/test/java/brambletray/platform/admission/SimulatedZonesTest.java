package brambletray.platform.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * A whole town in simulated time: hundreds of thousands of events under one seed, see {@link SimulatedZonesMain} for
 * the figures
 * of others.
 */
class SimulatedZonesTest {
    /** 700 services whose hosts have ended again: nothing is due any more, whatever the time. */
    @Test
    void idleQueuesCostNothing() {
        SimulatedZones town = new SimulatedZones(3, List.of("east"), 1, AdmissionParameters.of(0.2, 52, 10_000, 1));
        for (int i = 0; i < 700; i++) {
            town.add(new ServiceSpec("rare" + i, 128, 500, 1, 1500));
            town.add(new ServiceSpec("desk" + i, 512, 1400, 4, 300));
            SimulatedZones.RequestKind kind = new SimulatedZones.RequestKind("rare" + i, 1, 1500, 8000, 1, 0.3, 50, 0);
            town.at(i, () -> town.request(kind, "east"));
        }
        town.runUntil(60_000);
        assertEquals(700, town.inTime + town.late);
        assertEquals(700, town.instances.size(), "the warm ones stay");
        assertEquals(Long.MAX_VALUE, town.homes.get("east").nextDueMs());
    }

    @Test
    void steadyAndBurstLoadIsServedInTimeAtBoundedCost() {
        AdmissionParameters laws = AdmissionParameters.of(0.2, 52, 10_000, 3);
        for (double[] burst : new double[][] {{1, 1}, {2.3, 1}, {1, 2.9}}) {
            SimulatedZones town = SimulatedZonesMain.simulate(SimulatedZonesMain.LARGE, 11, laws, burst[0], burst[1]);
            String seen = town.figures(1.1, 0.45, 0.075);
            assertEquals(0, town.overLimit, "rule LIMIT: " + seen);
            assertTrue(town.unserved <= town.requests / 500, seen);
            assertTrue(town.value / town.maxValue > 0.97, seen);
            assertTrue(town.gbSeconds() < 650 && town.starts < 560, seen);
        }
    }
}
