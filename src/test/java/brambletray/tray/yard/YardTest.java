package brambletray.tray.yard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What no drawn timeline shows. */
class YardTest {
    private final List<String> done = new ArrayList<>();
    private final Hands hands = new Hands() {
        @Override
        public void tell(String edge, Object frame) {
            done.add(edge + ' ' + frame);
        }

        @Override
        public void begin(String service, String worker, String nonce) {
            done.add("begin " + service + ' ' + worker + ' ' + nonce);
        }

        @Override
        public void stop(String id) {
            done.add("stop " + id);
        }

        @Override
        public void askList() {}

        @Override
        public void askWorkers() {}
    };
    private final Yard yard = new Yard(new Terms(Map.of(), 800, 20, 50), hands, (service, seat) -> "edge-" + seat, 0);

    private static Host host(String id, String seat) {
        return new Host(id, "tea", "10.0.0.1:80", "north", seat, "w-1", "n-" + id, Host.UP, 100);
    }

    @Test
    void whoToldFirstIsRightAboutTheSeat() {
        yard.creed(Map.of("tea", new Size(100, 500)), 0);
        yard.mine("edge-north", new Mine(List.of(host("i-1", "north"))), 10);
        yard.mine("edge-south", new Mine(List.of(host("i-1", "south"))), 20);
        assertEquals(List.of("edge-south " + new Gone("i-1", "tea")), done);
        assertEquals("north", yard.hosts("tea", 10, 30).get(0).seat());
    }

    @Test
    void nothingStartsBeforeTheConfigurationAndTheWorkersAreKnown() {
        yard.tick(0);
        yard.need("edge-north", new Need("tea", "north", "n-1", 0), 10);
        yard.workers(List.of(new Worker("w-1", "north", 1_000, 1_000, false)), 20);
        assertEquals(List.of(), done);
        yard.creed(Map.of("tea", new Size(100, 500)), 30);
        yard.tick(50);
        assertEquals(List.of("begin tea w-1 n-1"), done);
    }

    @Test
    void aNeedThatNobodyRepeatsIsTurnedDown() {
        yard.creed(Map.of("tea", new Size(100, 500)), 0);
        yard.need("edge-north", new Need("tea", "north", "n-1", 0), 10);
        for (long now = 50; now < 4_000; now += 50) {
            yard.tick(now);
        }
        assertEquals(List.of("edge-north " + new NoRoom("n-1", Starts.BUSY)), done);
    }

    @Test
    void tooManyNeedsAreTurnedDownAtOnce() {
        for (int i = 0; i < 3_000; i++) {
            yard.need("edge-north", new Need("tea", "north", "n-" + i, 0), 10);
        }
        assertTrue(
                done.size() >= 900 && done.stream().allMatch(one -> one.contains("NoRoom")),
                done.size() + " turned down");
    }
}
