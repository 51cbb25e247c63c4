package brambletray.platform.failuredetection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class HeartbeatMonitorTest implements HeartbeatMonitor.Actions {
    private static final int INTERVAL = 200;
    private static final int FEW = 4;

    private final List<String> notified = new ArrayList<>();
    private final List<String> beats = new ArrayList<>();
    private final Peer self = peer(0);
    private final HeartbeatMonitor watch = new HeartbeatMonitor(self, INTERVAL, this);
    private final WatchRing ring;
    private long now = 10_000;

    HeartbeatMonitorTest() {
        List<Peer> peers = new ArrayList<>();
        for (int i = 0; i < FEW; i++) {
            peers.add(peer(i));
        }
        ring = new WatchRing(Roster.of(1, 1, peers));
        watch.updateRing(ring, now);
    }

    private static Peer peer(int number) {
        return new Peer("edge-" + number, "zone", "10.0.0." + number + ":7400", 5, Peer.ACTIVE);
    }

    @Override
    public void sendHeartbeat(Peer watcher, Heartbeat beat) {
        beats.add(watcher.name());
    }

    @Override
    public void reportSuspicion(SuspicionReport suspect) {
        notified.add("suspect " + suspect.name());
    }

    @Override
    public void withdrawSuspicion(SuspicionWithdrawal trust) {
        notified.add("trust " + trust.name());
    }

    @Override
    public void onProcessPaused(long ms) {
        notified.add("slept");
    }

    private void run(long ms, int... beating) {
        for (long until = now + ms; now < until; now += 50) {
            if (now % INTERVAL == 0) {
                for (int one : beating) {
                    watch.onHeartbeat(new Heartbeat("edge-" + one, 5, 0, 0), now);
                }
            }
            watch.tick(now);
        }
    }

    @Test
    void beatsGoToAllWatchersEachInterval() {
        run(2_000, 1, 2, 3);
        assertEquals(
                List.of("edge-1", "edge-2", "edge-3"),
                beats.subList(0, 3).stream().sorted().toList());
        assertEquals(3 * 2_000 / INTERVAL, beats.size());
        assertEquals(List.of(), notified);
    }

    @Test
    void ticksThatComeOnlyWhenDueSuspectAsSoonAsTicksThatComeOften() {
        run(2_000, 1, 2, 3);
        long silentSince = now;
        while (notified.isEmpty() && now < silentSince + 2_000) {
            now = Math.max(now + 1, watch.nextDueMs());
            watch.onHeartbeat(new Heartbeat("edge-1", 5, 0, 0), now);
            watch.onHeartbeat(new Heartbeat("edge-2", 5, 0, 0), now);
            watch.tick(now);
        }
        assertEquals(List.of("suspect edge-3"), notified);
        assertEquals(7 * INTERVAL / 2 - INTERVAL, now - silentSince);
    }

    @Test
    void oneThatFallsSilentIsSuspectedAfterThreeAndAHalfIntervalsAndAgainEachSecond() {
        run(2_000, 1, 2, 3);
        run(450, 1, 2);
        assertEquals(List.of(), notified);
        run(100, 1, 2);
        assertEquals(List.of("suspect edge-3"), notified);
        run(1_000, 1, 2);
        assertEquals(List.of("suspect edge-3", "suspect edge-3"), notified);
        run(50, 1, 2, 3);
        run(2_000, 1, 2, 3);
        assertEquals("trust edge-3", notified.get(2));
        assertEquals(3, notified.size());
    }

    @Test
    void beatsOfAnotherLifeAreNotThoseThatAreMissed() {
        run(2_000, 1, 2, 3);
        for (int i = 0; i < 40; i++) {
            watch.onHeartbeat(new Heartbeat("edge-3", 6, 0, 0), now);
            run(50, 1, 2);
        }
        assertEquals("suspect edge-3", notified.get(0));
    }

    @Test
    void aNewCoordinatorIsToldAtOnce() {
        run(2_000, 1, 2, 3);
        run(800, 1, 2);
        notified.clear();
        watch.onCoordinatorConnected();
        run(50, 1, 2);
        assertEquals(List.of("suspect edge-3"), notified);
    }

    @Test
    void whoMissesAllDoubtsItselfOnceTheCoordinatorIsBack() {
        run(2_000, 1, 2, 3);
        run(800);
        assertEquals(3, notified.size());
        notified.clear();
        watch.onCoordinatorConnected();
        run(600);
        assertEquals(List.of(), notified);
        run(200);
        assertEquals(3, notified.size());
    }

    @Test
    void whoSleptWaitsAnew() {
        run(2_000, 1, 2, 3);
        now += 5_000;
        run(600);
        assertEquals(List.of("slept"), notified);
        run(200);
        assertTrue(notified.contains("suspect edge-1"));
    }

    @Test
    void aNewWardHasTimeToFindItsWatchers() {
        run(1_600);
        assertEquals(List.of(), notified);
        run(200);
        assertEquals(3, notified.size());
        watch.updateRing(ring, now);
        run(50, 1, 2, 3);
        assertEquals(List.of(), watch.suspected());
    }
}
