package brambletray.platform.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;

import brambletray.common.runtime.Machine;
import brambletray.common.simulation.Simulation;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Times in ms. "o" is a request, "x" a run, "." a time at which nothing may happen.
 *
 * <pre>
 *            100      200      250      300
 * requests   o300     o250
 * runs                         x        .
 * </pre>
 */
class EarliestTimerTest {
    private final Simulation simulation = new Simulation(1, 0);
    private final Machine machine = simulation.machine(InetAddress.getLoopbackAddress());
    private final long startMs = nowMs();
    private final List<Long> runs = new ArrayList<>();
    private final EarliestTimer timer = new EarliestTimer(machine, () -> runs.add(nowMs() - startMs));
    private int wakeUps;

    private long nowMs() {
        return machine.clock().nanos() / 1_000_000;
    }

    /** Runs until this time and counts the events of the machine. */
    private void runUntil(long ms) {
        wakeUps = -1;
        simulation.runUntil(TimeUnit.MILLISECONDS.toNanos(ms), () -> {
            wakeUps++;
            return false;
        });
    }

    @Test
    void runsAtTheEarliestTimeRequested() {
        timer.schedule(startMs + 300);
        timer.schedule(startMs + 250);
        timer.schedule(startMs + 280);
        runUntil(1_000);
        assertEquals(List.of(250L), runs);
    }

    @Test
    void replacedTimerDoesNotWakeTheProcess() {
        runUntil(100);
        timer.schedule(startMs + 300);
        runUntil(200);
        timer.schedule(startMs + 250);
        runUntil(1_000);
        assertEquals(1, wakeUps);
    }

    @Test
    void taskThatSchedulesItselfRunsAgain() {
        EarliestTimer[] again = new EarliestTimer[1];
        again[0] = new EarliestTimer(machine, () -> {
            runs.add(nowMs() - startMs);
            again[0].schedule(nowMs() + 100);
        });
        again[0].schedule(startMs + 100);
        runUntil(350);
        assertEquals(List.of(100L, 200L, 300L), runs);
    }

    @Test
    void failedTaskIsRescheduledByRecover() {
        timer.schedule(startMs + 100);
        runUntil(150);
        timer.recover(startMs + 150);
        runUntil(200);
        assertEquals(List.of(100L, 151L), runs);
    }
}
