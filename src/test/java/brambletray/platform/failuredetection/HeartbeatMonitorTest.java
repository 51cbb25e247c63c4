package brambletray.platform.failuredetection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class HeartbeatMonitorTest implements HeartbeatMonitor.Actions {
    private static final int INTERVAL_MS = 200;
    private static final int EDGES = 4;

    private final List<String> events = new ArrayList<>();
    private final List<String> heartbeatTargets = new ArrayList<>();
    private final Peer self = peer(0);
    private final HeartbeatMonitor monitor = new HeartbeatMonitor(self, INTERVAL_MS, this);
    private final WatchRing ring;
    private long now = 10_000;

    HeartbeatMonitorTest() {
        List<Peer> peers = new ArrayList<>();
        for (int i = 0; i < EDGES; i++) {
            peers.add(peer(i));
        }
        ring = new WatchRing(Roster.of(1, 1, peers));
        monitor.updateRing(ring, now);
    }

    private static Peer peer(int number) {
        return new Peer("edge-" + number, "zone", "10.0.0." + number + ":7400", 5, Peer.ACTIVE);
    }

    @Override
    public void sendHeartbeat(Peer watcher, Heartbeat heartbeat) {
        heartbeatTargets.add(watcher.name());
    }

    @Override
    public void reportSuspicion(SuspicionReport report) {
        events.add("suspect " + report.name());
    }

    @Override
    public void withdrawSuspicion(SuspicionWithdrawal withdrawal) {
        events.add("withdraw " + withdrawal.name());
    }

    @Override
    public void onProcessPaused(long durationMs) {
        events.add("paused");
    }

    private void run(long ms, int... heartbeatsFrom) {
        for (long until = now + ms; now < until; now += 50) {
            if (now % INTERVAL_MS == 0) {
                for (int one : heartbeatsFrom) {
                    monitor.onHeartbeat(new Heartbeat("edge-" + one, 5, 0, 0), now);
                }
            }
            monitor.tick(now);
        }
    }

    @Test
    void sendsHeartbeatsToAllWatchersEachInterval() {
        run(2_000, 1, 2, 3);
        assertEquals(
                List.of("edge-1", "edge-2", "edge-3"),
                heartbeatTargets.subList(0, 3).stream().sorted().toList());
        assertEquals(3 * 2_000 / INTERVAL_MS, heartbeatTargets.size());
        assertEquals(List.of(), events);
    }

    @Test
    void ticksAtDueTimesSuspectAsEarlyAsFrequentTicks() {
        run(2_000, 1, 2, 3);
        long silentSince = now;
        while (events.isEmpty() && now < silentSince + 2_000) {
            now = Math.max(now + 1, monitor.nextDueMs());
            monitor.onHeartbeat(new Heartbeat("edge-1", 5, 0, 0), now);
            monitor.onHeartbeat(new Heartbeat("edge-2", 5, 0, 0), now);
            monitor.tick(now);
        }
        assertEquals(List.of("suspect edge-3"), events);
        assertEquals(7 * INTERVAL_MS / 2 - INTERVAL_MS, now - silentSince);
    }

    @Test
    void suspectsASilentPeerAfterThreeAndAHalfIntervalsAndRepeatsEachSecond() {
        run(2_000, 1, 2, 3);
        run(450, 1, 2);
        assertEquals(List.of(), events);
        run(100, 1, 2);
        assertEquals(List.of("suspect edge-3"), events);
        run(1_000, 1, 2);
        assertEquals(List.of("suspect edge-3", "suspect edge-3"), events);
        run(50, 1, 2, 3);
        run(2_000, 1, 2, 3);
        assertEquals("withdraw edge-3", events.get(2));
        assertEquals(3, events.size());
    }

    @Test
    void ignoresHeartbeatsOfAnotherIncarnation() {
        run(2_000, 1, 2, 3);
        for (int i = 0; i < 40; i++) {
            monitor.onHeartbeat(new Heartbeat("edge-3", 6, 0, 0), now);
            run(50, 1, 2);
        }
        assertEquals("suspect edge-3", events.get(0));
    }

    @Test
    void reportsSuspicionsToANewCoordinatorAtOnce() {
        run(2_000, 1, 2, 3);
        run(800, 1, 2);
        events.clear();
        monitor.onCoordinatorConnected();
        run(50, 1, 2);
        assertEquals(List.of("suspect edge-3"), events);
    }

    @Test
    void restartsTimeoutsOnReconnectIfAllPeersAreSuspected() {
        run(2_000, 1, 2, 3);
        run(800);
        assertEquals(3, events.size());
        events.clear();
        monitor.onCoordinatorConnected();
        run(600);
        assertEquals(List.of(), events);
        run(200);
        assertEquals(3, events.size());
    }

    @Test
    void restartsTimeoutsAfterAPause() {
        run(2_000, 1, 2, 3);
        now += 5_000;
        run(600);
        assertEquals(List.of("paused"), events);
        run(200);
        assertTrue(events.contains("suspect edge-1"));
    }

    @Test
    void allowsANewlyWatchedPeerMoreTime() {
        run(1_600);
        assertEquals(List.of(), events);
        run(200);
        assertEquals(3, events.size());
        monitor.updateRing(ring, now);
        run(50, 1, 2, 3);
        assertEquals(List.of(), monitor.suspected());
    }
}
