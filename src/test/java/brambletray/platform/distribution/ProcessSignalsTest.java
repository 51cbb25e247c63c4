package brambletray.platform.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** How a process handles signals, in every order in which they may arrive. */
class ProcessSignalsTest {
    private final List<String> events = new ArrayList<>();
    private final ProcessSignals signals = new ProcessSignals(code -> events.add("exit " + code));

    private final ProcessSignals.Program program = new ProcessSignals.Program() {
        @Override
        public void terminate() {
            events.add("terminate");
        }

        @Override
        public void reload() {
            events.add("reload");
        }
    };

    @Test
    void aProgramReceivesEachHangUpAndTheFirstTermination() {
        signals.register(program);
        signals.reload();
        signals.reload();
        signals.terminate();
        assertEquals(List.of("reload", "reload", "terminate"), events);
    }

    @Test
    void aSecondTerminationChangesNothing() {
        signals.register(program);
        signals.terminate();
        signals.terminate();
        signals.terminate();
        assertEquals(List.of("terminate"), events);
    }

    @Test
    void aHangUpAfterATerminationChangesNothing() {
        signals.register(program);
        signals.terminate();
        signals.reload();
        assertEquals(List.of("terminate"), events);
    }

    @Test
    void aTerminationBeforeTheProgramRunsEndsTheProcessWithZero() {
        signals.terminate();
        signals.terminate();
        signals.register(program);
        assertEquals(List.of("exit 0"), events);
    }

    @Test
    void aHangUpBeforeTheProgramRunsIsDeliveredOnceItRuns() {
        signals.reload();
        signals.reload();
        assertEquals(List.of(), events);
        signals.register(program);
        assertEquals(List.of("reload"), events);
    }
}
