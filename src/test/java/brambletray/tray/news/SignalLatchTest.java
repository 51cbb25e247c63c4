package brambletray.tray.news;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.tray.interleaving.Turns;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A signal and the start of a process, under every order of their turns. */
class SignalLatchTest {
    @Test
    void settingsThatChangeWhileTheProcessStartsAreReadAgain() {
        int orders = Turns.everyOrder(turns -> {
            SignalLatch latch = new SignalLatch(turns.lock());
            int[] settings = {1};
            int[] known = new int[1];
            turns.thread("system", () -> {
                settings[0] = 2;
                latch.arrived();
            });
            turns.thread("start", () -> {
                known[0] = settings[0];
                turns.point();
                latch.handler(() -> known[0] = settings[0]);
            });
            turns.run();
            assertEquals(2, known[0], "the settings that the process goes by");
        });
        assertTrue(orders >= 3, "few orders: " + orders);
    }

    @Test
    void signalsBeforeTheFirstHandlerCountAsOneAndLaterOnesEach() {
        List<String> handled = new ArrayList<>();
        SignalLatch latch = new SignalLatch();
        latch.arrived();
        latch.arrived();
        assertEquals(List.of(), handled);
        latch.handler(() -> handled.add("first"));
        assertEquals(List.of("first"), handled);
        latch.handler(() -> handled.add("second"));
        latch.arrived();
        latch.arrived();
        assertEquals(List.of("first", "second", "second"), handled);
    }
}
