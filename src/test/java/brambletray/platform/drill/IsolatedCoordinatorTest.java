package brambletray.platform.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.common.runtime.Machine;
import brambletray.platform.configuration.Configuration;
import brambletray.platform.distribution.CoordinatorHeartbeat;
import brambletray.platform.distribution.FrameTypes;
import brambletray.platform.distribution.LinkIntroduction;
import brambletray.platform.failuredetection.EdgeHello;
import brambletray.platform.failuredetection.EdgeWelcome;
import brambletray.platform.failuredetection.Peer;
import brambletray.platform.settings.Address;
import brambletray.platform.transport.FrameCodec;
import brambletray.platform.transport.Link;
import brambletray.platform.transport.LinkDialer;
import brambletray.platform.transport.LinkHandler;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;

/**
 * Point 1 of the users' letter, brought about with the production programs in simulated time: the coordinator, which
 * leads as well, is cut off from the rest of the control plane for 20 s, operators and edges still reach it, and one
 * edge reaches nobody else.
 */
class IsolatedCoordinatorTest {
    private static final int SEEDS = Integer.getInteger("isolated.seeds", 6);
    private static final int CUT = 20_000;
    /** ms: a lease, a late tick and what is on its way; within that the old coordinator may still act. */
    private static final int LEASE = 1_000;

    private SimulatedCluster world;
    private Machine caller;
    private CoreNode isolated;
    private long cutAt;
    private long ackedAt = -1;
    private long spreadAt = -1;
    private int asked;
    private int answered;
    private final List<String> wrong = new ArrayList<>();

    private boolean until(long ms, BooleanSupplier holds) {
        return world.simulation.runUntil(ms * 1_000_000, holds);
    }

    private void until(long ms) {
        until(ms, () -> false);
    }

    private void send(CoreNode to, OperatorRequest request, HttpCall.Reply reply) {
        HttpCall.make(
                caller,
                Address.parse(to.control()),
                "/brambletray/configuration/" + (request.replacesAll ? "replace" : "modify"),
                request.base,
                request.body,
                reply);
    }

    /** Sends it to the members in turn, on by 307, until it is acknowledged. */
    private void sendUntilTaken(OperatorRequest request, List<CoreNode> members, int turn, Runnable taken) {
        send(members.get(turn % members.size()), request, (status, location, body) -> {
            if (status == 200) {
                taken.run();
            } else if (status == 400 || status == 409 || status == 412) {
                wrong.add("order " + request.id + " refused with " + status + " at " + (world.now() - cutAt));
            } else {
                world.after(status == 307 ? 1 : 100, () -> sendUntilTaken(request, members, turn + 1, taken));
            }
        });
    }

    /** The isolated member is asked for what it must not answer. */
    private void tempt() {
        if (world.now() > cutAt + CUT - 1_500) {
            return;
        }
        asked += 3;
        HttpCall.make(
                caller,
                Address.parse(isolated.control()),
                "/brambletray/configuration/show",
                null,
                null,
                (status, location, body) -> judge("show", status));
        send(
                isolated,
                OperatorRequest.valid(90, 1, 0, 91, false, 0),
                (status, location, body) -> judge("a change on another version", status));
        send(
                isolated,
                OperatorRequest.invalid(92, 1, 1, 0),
                (status, location, body) -> judge("an invalid change", status));
        world.after(world.now() < cutAt + LEASE ? 100 : 700, this::tempt);
    }

    private void judge(String what, int status) {
        if (status != 0 && status != 307 && status != 503) {
            answered++;
            wrong.add(what + " answered with " + status + " at " + (world.now() - cutAt));
        }
    }

    private void look() {
        EdgeNode alone = world.edges.get(1);
        EdgeNode anew = world.edges.get(0);
        long since = world.now() - cutAt;
        if (since > LEASE + 500 && since < CUT && (alone.ready() || alone.configuration() != Configuration.NONE)) {
            wrong.add(alone.name + " is fed by the isolated helm, ready " + alone.ready() + " at " + since);
        }
        if (since > 2_500
                && anew.configuration() != Configuration.NONE
                && anew.configuration().revision() < 2) {
            wrong.add(anew.name + " started anew and was handed "
                    + anew.configuration().revision() + " at " + since);
        }
        boolean spread = anew.configuration().revision() >= 2
                && world.edges.get(2).configuration().revision() >= 2;
        if (spreadAt < 0 && spread) {
            spreadAt = world.now();
        }
        if (wrong.isEmpty()) {
            world.after(10, this::look);
        }
    }

    private void cut(EdgeNode edge, boolean join) {
        for (CoreNode other : world.cores) {
            if (other != isolated) {
                if (join) {
                    world.join(edge.address, other.address);
                    world.join(other.address, edge.address);
                } else {
                    world.cut(edge.address, other.address);
                    world.cut(other.address, edge.address);
                }
            }
        }
    }

    private void isolate(boolean join) {
        for (CoreNode other : world.cores) {
            if (other != isolated) {
                if (join) {
                    world.join(isolated.address, other.address);
                    world.join(other.address, isolated.address);
                } else {
                    world.cut(isolated.address, other.address);
                    world.cut(other.address, isolated.address);
                }
            }
        }
    }

    /** What was seen is in the fields. */
    private IsolatedCoordinatorTest play(long seed, int members) {
        world = new SimulatedCluster(new ScenarioScript(seed, members, 1, 60_000, List.of()));
        world.whenFailed = wrong::add;
        caller = world.machine(SimulatedCluster.ip(10, 9, 0, 1), "operator");
        world.cores.forEach(core -> world.at(world.random.nextInt(300), core::start));
        world.edges.forEach(edge -> world.at(world.random.nextInt(300), edge::start));
        boolean[] first = new boolean[1];
        world.at(
                500,
                () -> sendUntilTaken(
                        OperatorRequest.valid(1, 0, 0, 1, true, 0), world.cores, 0, () -> first[0] = true));
        assertTrue(
                until(
                        9_000,
                        () -> first[0]
                                && world.edges.stream().allMatch(EdgeNode::ready)
                                && world.coordinator() != null),
                "at rest: " + wrong);
        until(world.now() + 3_000 + world.random.nextInt(1_000));
        isolated = world.coordinator();
        cutAt = world.now();
        EdgeNode alone = world.edges.get(1);
        EdgeNode anew = world.edges.get(0);
        isolate(false);
        cut(alone, false);
        List<CoreNode> rest = new ArrayList<>(world.cores);
        rest.remove(isolated);
        world.after(
                world.random.nextInt(400),
                () -> sendUntilTaken(
                        OperatorRequest.valid(2, 1, 1, 2, false, 0), rest, 0, () -> ackedAt = world.now()));
        // Its lease is over then, but its hub is still there.
        world.after(830, alone::kill);
        world.after(850, alone::start);
        world.after(2_000, anew::kill);
        world.after(2_200, anew::start);
        world.after(5, this::tempt);
        look();
        until(cutAt + CUT);
        isolate(true);
        cut(alone, true);
        boolean all = until(
                cutAt + CUT + 8_000,
                () -> world.edges.stream()
                        .allMatch(edge -> edge.ready() && edge.configuration().revision() == 2));
        if (!all) {
            wrong.add("not all edges serve by the newest 8 s after the cut");
        }
        world.cores.forEach(core -> core.kill(false));
        world.edges.forEach(EdgeNode::kill);
        return this;
    }

    /**
     * A helm whose lease runs is asked by an edge that has heard of a higher term: it says nothing, as no majority
     * agrees anew.
     */
    @Test
    void anIsolatedCoordinatorThatHearsOfAHigherTermIsSilentThoughItsLeaseRuns() {
        assertEquals(List.of(CoordinatorHeartbeat.class), saidTo(0), "who knows of no higher term is told at once");
        assertEquals(List.of(), saidTo(Long.MAX_VALUE));
    }

    /**
     * Kinds of frames with authority that an edge is told in the first 300 ms of a cut, whose Hello bears this term.
     */
    private static List<Class<?>> saidTo(long term) {
        IsolatedCoordinatorTest one = new IsolatedCoordinatorTest();
        SimulatedCluster cluster = new SimulatedCluster(new ScenarioScript(3, 3, 1, 60_000, List.of()));
        one.world = cluster;
        cluster.cores.forEach(CoreNode::start);
        assertTrue(one.until(9_000, () -> cluster.coordinator() != null), "at rest");
        one.until(cluster.now() + 2_000);
        one.isolated = cluster.coordinator();
        one.isolate(false);
        List<Class<?>> said = new ArrayList<>();
        Machine edge = cluster.machine(SimulatedCluster.ip(10, 9, 0, 2), "edge");
        new LinkDialer(
                edge,
                new FrameCodec(FrameTypes.ALL),
                new Address(one.isolated.ip, SimulatedCluster.INNER),
                new LinkHandler() {
                    @Override
                    public void onLinkUp(Link link) {
                        link.send(new LinkIntroduction("edge-9", "10.9.0.2:7400", false));
                        link.send(new EdgeHello(
                                new Peer("edge-9", "z1", "10.9.0.2:7400", 1, Peer.ACTIVE), 0, 0, 0, term));
                    }

                    @Override
                    public void onFrame(Link link, Object frame) {
                        if (!(frame instanceof EdgeWelcome) && !said.contains(frame.getClass())) {
                            said.add(frame.getClass());
                        }
                    }

                    @Override
                    public void onLinkDown(Link link, String why) {}
                },
                1);
        one.until(cluster.now() + 300);
        cluster.cores.forEach(core -> core.kill(false));
        return said;
    }

    @Test
    void anIsolatedCoordinatorHandsOutNothingAnswersNothingAndEdgesFollowTheNextOneInTime() {
        List<String> wrong = new ArrayList<>();
        long[] acked = new long[2 * SEEDS];
        long[] spread = new long[2 * SEEDS];
        int asked = 0;
        int at = 0;
        for (int members : new int[] {3, 5}) {
            for (long seed = 1; seed <= SEEDS; seed++) {
                IsolatedCoordinatorTest one = new IsolatedCoordinatorTest().play(seed, members);
                for (String each : one.wrong) {
                    wrong.add(members + " members, seed " + seed + ": " + each);
                }
                if (one.ackedAt < 0 || one.spreadAt < 0) {
                    wrong.add(members + " members, seed " + seed + ": acknowledged " + one.ackedAt + ", spread "
                            + one.spreadAt);
                }
                asked += one.asked;
                acked[at] = one.ackedAt - one.cutAt;
                spread[at++] = one.spreadAt - one.ackedAt;
            }
        }
        Arrays.sort(acked);
        Arrays.sort(spread);
        System.out.println(
                "isolated helm: " + at + " courses, asked " + asked + " times what it must not answer; ms from the cut "
                        + "to the next acknowledgement: median " + acked[at / 2] + ", longest " + acked[at - 1]
                        + "; from that to the edges: median "
                        + spread[at / 2] + ", longest " + spread[at - 1]);
        assertEquals(List.of(), wrong);
        assertTrue(spread[at - 1] <= SimulatedCluster.APPLY, "config-apply-ms: " + spread[at - 1]);
    }
}
