package brambletray.platform.drill;

import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.common.runtime.Machine;
import brambletray.platform.settings.Address;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * A core of three whose view has shrunk to two when one of the two is lost for good and replaced at another address.
 * The third machine is there with its disk, so a majority of the three is; the core must go on.
 */
class OverlappingLossesTest {
    private static final int RECOVERY_MS = 15_000;
    private static final int RETRY_MS = 100;
    private static final int NEWCOMER_NUMBER = 91;
    private static final long NANOS_PER_MS = 1_000_000;

    private final SimulatedCluster cluster = new SimulatedCluster(new ScenarioScript(7, 3, 1, 120_000, List.of()));
    private final Machine caller = cluster.machine(SimulatedCluster.ip(10, 9, 0, 1), "operator");
    private long revision;
    private boolean acknowledged;

    @BeforeEach
    void open() {
        cluster.cores.forEach(CoreNode::start);
        assertTrue(isChangeAcknowledgedWithin(RECOVERY_MS), "the core comes up");
        pass(2_000);
    }

    @AfterEach
    void close() {
        cluster.cores.forEach(core -> core.kill(false));
    }

    private void pass(long ms) {
        cluster.simulation.runUntil(cluster.simulation.now() + ms * NANOS_PER_MS);
    }

    private boolean isChangeAcknowledgedWithin(long ms) {
        acknowledged = false;
        long base = revision++;
        change(OperatorRequest.valid((int) revision, (int) base, base, revision, base == 0, 0), 0);
        return cluster.simulation.runUntil(cluster.simulation.now() + ms * NANOS_PER_MS, () -> acknowledged);
    }

    private void change(OperatorRequest request, int turn) {
        CoreNode member = cluster.cores.get(turn % cluster.cores.size());
        HttpCall.make(
                caller,
                Address.parse(member.control()),
                request.path(),
                request.base,
                request.body,
                (status, location, body) -> {
                    if (status == 200) {
                        acknowledged = true;
                    } else {
                        cluster.after(RETRY_MS, () -> change(request, turn + 1));
                    }
                });
    }

    private CoreNode nonLeader(CoreNode other) {
        return cluster.cores.stream()
                .filter(core -> core != cluster.leader() && core != other)
                .findFirst()
                .orElseThrow();
    }

    private void loseForGood(CoreNode core, long replacedAfterMs) {
        core.kill(true);
        cluster.cores.remove(core);
        cluster.unlisted(core.control());
        cluster.after(replacedAfterMs, () -> {
            CoreNode newcomer = new CoreNode(cluster, NEWCOMER_NUMBER, false);
            cluster.cores.add(newcomer);
            newcomer.start();
        });
    }

    /**
     * As review/2.
     *
     * <pre>
     *   ms      a (leads)        b                 c                 d
     *      0                     killed
     *    700    view a, c                          view a, c
     *   2600                                       lost for good
     *   3400                     back, with disk
     *   3600                                                         starts, empty
     *  18400    a change is acknowledged
     * </pre>
     */
    @Test
    @Tag("known-red")
    void theCoreGoesOnAfterALossDuringACrash() {
        CoreNode crashed = nonLeader(null);
        CoreNode lost = nonLeader(crashed);
        crashed.kill(false);
        cluster.after(3_400, crashed::start);
        pass(2_600);
        loseForGood(lost, 1_000);
        pass(1_000);
        assertTrue(isChangeAcknowledgedWithin(RECOVERY_MS), "a change within recovery-s");
    }

    /**
     * As review/1: a member's link flaps, and it is kept out for longer than sync-s.
     *
     * <pre>
     *   ms           a (leads)        b                          c                 d
     *      0 ...                      cut for 800, seven times,
     *  30000                          5000 apart
     *  30700         view a, c                                   view a, c
     *  30800                          its link is whole
     *  34850         lost for good
     *  36850                                                                       starts, empty
     *  51850                                                     a change is acknowledged
     * </pre>
     */
    @Test
    @Tag("known-red")
    void theCoreGoesOnAfterALossBehindAFlappingLink() {
        CoreNode flapping = nonLeader(null);
        for (int i = 0; i < 7; i++) {
            cluster.cores.stream().filter(core -> core != flapping).forEach(core -> cut(flapping, core));
            pass(800);
            cluster.cores.stream().filter(core -> core != flapping).forEach(core -> join(flapping, core));
            pass(i < 6 ? 4_200 : 4_050);
        }
        loseForGood(cluster.leader(), 2_000);
        pass(2_000);
        assertTrue(isChangeAcknowledgedWithin(RECOVERY_MS), "a change within recovery-s");
    }

    private void cut(CoreNode one, CoreNode other) {
        cluster.cut(one.address, other.address);
        cluster.cut(other.address, one.address);
    }

    private void join(CoreNode one, CoreNode other) {
        cluster.join(one.address, other.address);
        cluster.join(other.address, one.address);
    }
}
