package brambletray.tray.news;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import sun.misc.Signal;

/** With signals that a process ignores by default. */
class SignalsTest {
    @Test
    void oneThatCameBeforeItsHandlerIsNotLostAndCountsOnce() {
        AtomicInteger handled = new AtomicInteger();
        Signals.expect("WINCH");
        Signals.arrived("WINCH");
        Signals.arrived("WINCH");
        assertEquals(0, handled.get());
        Signals.on("WINCH", handled::incrementAndGet);
        assertEquals(1, handled.get());
        Signals.arrived("WINCH");
        assertEquals(2, handled.get());
    }

    @Test
    void oneOfTheSystemComesToItsHandler() throws InterruptedException {
        CountDownLatch handled = new CountDownLatch(1);
        Signals.on("URG", handled::countDown);
        Signal.raise(new Signal("URG"));
        assertTrue(handled.await(5, TimeUnit.SECONDS));
    }
}
