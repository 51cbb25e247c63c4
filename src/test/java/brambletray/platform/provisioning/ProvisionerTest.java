package brambletray.platform.provisioning;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What no drawn timeline shows. */
class ProvisionerTest {
    private final List<String> done = new ArrayList<>();
    private final ProvisioningActions hands = new ProvisioningActions() {
        @Override
        public void send(String edge, Object frame) {
            done.add(edge + ' ' + frame);
        }

        @Override
        public void startInstance(String service, String worker, String nonce) {
            done.add("begin " + service + ' ' + worker + ' ' + nonce);
        }

        @Override
        public void stopInstance(String id) {
            done.add("stop " + id);
        }

        @Override
        public void requestInstanceList() {}

        @Override
        public void requestWorkerList() {}
    };
    private final Provisioner provisioner =
            new Provisioner(new PlatformTerms(Map.of(), 800, 20, 50), hands, (service, queue) -> "edge-" + queue, 0);

    private static InstanceInfo host(String id, String queue) {
        return new InstanceInfo(id, "tea", "10.0.0.1:80", "north", queue, "w-1", "n-" + id, InstanceInfo.UP, 100);
    }

    @Test
    void theFirstReportOfAnInstanceDecidesItsHomeZone() {
        provisioner.onConfigurationChanged(Map.of("tea", new InstanceSize(100, 500)), 0);
        provisioner.onKnownInstances("edge-north", new KnownInstances(List.of(host("i-1", "north"))), 10);
        provisioner.onKnownInstances("edge-south", new KnownInstances(List.of(host("i-1", "south"))), 20);
        assertEquals(List.of("edge-south " + new InstanceGone("i-1", "tea")), done);
        assertEquals("north", provisioner.instances("tea", 10, 30).get(0).homeZone());
    }

    @Test
    void nothingStartsBeforeTheConfigurationAndTheWorkersAreKnown() {
        provisioner.tick(0);
        provisioner.onStartRequest("edge-north", new StartRequest("tea", "north", "n-1", 0), 10);
        provisioner.onWorkerList(List.of(new WorkerInfo("w-1", "north", 1_000, 1_000, false)), 20);
        assertEquals(List.of(), done);
        provisioner.onConfigurationChanged(Map.of("tea", new InstanceSize(100, 500)), 30);
        provisioner.tick(50);
        assertEquals(List.of("begin tea w-1 n-1"), done);
    }

    @Test
    void aNeedThatNobodyRepeatsIsTurnedDown() {
        provisioner.onConfigurationChanged(Map.of("tea", new InstanceSize(100, 500)), 0);
        provisioner.onStartRequest("edge-north", new StartRequest("tea", "north", "n-1", 0), 10);
        for (long now = 50; now < 4_000; now += 50) {
            provisioner.tick(now);
        }
        assertEquals(List.of("edge-north " + new StartRefusal("n-1", InstanceStarts.RETRY_WHEN_BUSY_MS)), done);
    }

    @Test
    void tooManyNeedsAreTurnedDownAtOnce() {
        for (int i = 0; i < 3_000; i++) {
            provisioner.onStartRequest("edge-north", new StartRequest("tea", "north", "n-" + i, 0), 10);
        }
        assertTrue(
                done.size() >= 900 && done.stream().allMatch(one -> one.contains("StartRefusal")),
                done.size() + " turned down");
    }
}
