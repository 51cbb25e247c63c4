package brambletray.platform.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.platform.interleaving.Turns;
import org.junit.jupiter.api.Test;

/** A signal that arrives while the process starts, in every interleaving of the two threads. */
class ProcessSignalsTurnsTest {
    @Test
    void settingsThatChangeWhileTheProcessStartsAreReadAgain() {
        int orders = Turns.everyOrder(turns -> {
            ProcessSignals signals = new ProcessSignals(code -> {}, turns.lock());
            int[] settings = {1};
            int[] known = new int[1];
            turns.thread("system", () -> {
                settings[0] = 2;
                signals.reload();
            });
            turns.thread("start", () -> {
                known[0] = settings[0];
                turns.point();
                signals.register(new ReloadingProgram(() -> known[0] = settings[0]));
            });
            turns.run();
            assertEquals(2, known[0], "the settings that the process has read");
        });
        assertTrue(orders >= 3, "too few interleavings: " + orders);
    }

    private record ReloadingProgram(Runnable onReload) implements ProcessSignals.Program {
        @Override
        public void terminate() {
            throw new AssertionError("no termination was sent");
        }

        @Override
        public void reload() {
            onReload.run();
        }
    }
}
