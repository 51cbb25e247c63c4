package brambletray.platform.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.common.runtime.Machine;
import brambletray.common.simulation.SimNetwork;
import brambletray.common.simulation.Simulation;
import brambletray.platform.distribution.FrameTypes;
import brambletray.platform.distribution.LinkIntroduction;
import brambletray.platform.distribution.RosterRequest;
import brambletray.platform.replication.Ballot;
import brambletray.platform.replication.ReplicationMessage;
import brambletray.platform.replication.TransferDescriptor;
import brambletray.platform.settings.Address;
import brambletray.platform.transport.FrameCodec;
import brambletray.platform.transport.Link;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Links between members in simulated time: a machine that comes back is heard, and spoken to, at once. */
class PeerLinksTest {
    private static final int PORT = 7_400;

    private static final TransferDescriptor NOTHING_BEFORE = new TransferDescriptor(0, false, 0, 0, 0);

    private final Simulation simulation = new Simulation(7, 0);
    private final List<String> heard = new ArrayList<>();

    PeerLinksTest() {
        simulation.network().usual(new SimNetwork.Way(ms(1), 0));
    }

    private static long ms(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }

    private static InetAddress ip(String text) {
        try {
            return InetAddress.getByName(text);
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException(e);
        }
    }

    /** Notes when, where and from whom a frame comes. */
    private PeerLinks member(String ip) {
        return member(
                ip,
                (from, frame) ->
                        heard.add(TimeUnit.NANOSECONDS.toMillis(simulation.now()) + " " + ip + " hears " + from));
    }

    private PeerLinks member(String ip, BiConsumer<String, Object> notified) {
        Machine machine = simulation.machine(ip(ip));
        PeerLinks[] made = new PeerLinks[1];
        machine.loop()
                .execute(() -> made[0] = new PeerLinks(
                        machine,
                        new FrameCodec(FrameTypes.ALL),
                        new Address(ip, PORT),
                        new LinkIntroduction(ip, ip + ":90", true),
                        new PeerLinks.MemberReceiver() {
                            @Override
                            public void onMemberMessage(String address, Object frame) {
                                notified.accept(address, frame);
                            }

                            @Override
                            public void onMemberDisconnected(String address) {}
                        },
                        new PeerLinks.EdgeReceiver() {
                            @Override
                            public void onEdgeConnected(String name, Link link) {}

                            @Override
                            public void onEdgeMessage(String name, Link link, Object frame) {}

                            @Override
                            public void onEdgeDisconnected(String name, Link link) {}
                        }));
        simulation.runUntil(simulation.now());
        return made[0];
    }

    /**
     * The call began while the other was without power and would hang for a second; the other's own call says that it
     * is there.
     */
    @Test
    void whoIsBackIsSpokenToAtOnce() {
        PeerLinks one = member("10.0.0.1");
        simulation.network().vanish(ip("10.0.0.2"));
        one.send("10.0.0.2:90", new RosterRequest(1, 1));
        simulation.runUntil(ms(300));
        simulation.network().comeBack(ip("10.0.0.2"));
        PeerLinks other = member("10.0.0.2");
        other.send("10.0.0.1:90", new RosterRequest(1, 1));
        for (int at = 310; at <= 400; at += 10) {
            simulation.runUntil(ms(at));
            one.send("10.0.0.2:90", new RosterRequest(1, 1));
        }
        assertTrue(heard.stream().anyMatch(line -> line.contains("10.0.0.2 hears 10.0.0.1:90")), heard::toString);
    }

    /** Control: without a word of the other the call hangs until its time is over. */
    @Test
    void whoSaysNothingIsCalledWhenTheHungCallIsOver() {
        PeerLinks one = member("10.0.0.1");
        simulation.network().vanish(ip("10.0.0.2"));
        one.send("10.0.0.2:90", new RosterRequest(1, 1));
        simulation.runUntil(ms(300));
        simulation.network().comeBack(ip("10.0.0.2"));
        member("10.0.0.2");
        for (int at = 310; at <= 900; at += 10) {
            simulation.runUntil(ms(at));
            one.send("10.0.0.2:90", new RosterRequest(1, 1));
        }
        assertEquals(List.of(), heard);
    }

    /**
     * A state transfer of a second's bytes on a link of 2 Mbit/s, and a heartbeat every 100 ms.
     *
     * <pre>
     *   ms    source                        link (250 bytes a ms)          receiver
     *   0     64 chunks of 4 kB are said   piece 1, 2, 3 ...
     *   100   heartbeat 1                  overtakes all chunks but one   hears it by 200
     *   ...
     *   1000  heartbeat 10                                                hears it by 1100
     *         the chunks come in order
     * </pre>
     */
    @Test
    void aHeartbeatStandsBehindOnePieceAtMost() {
        int pieceBytes = 4 << 10;
        int pieces = 64;
        simulation.network().rate(ip("10.0.0.1"), 250_000);
        simulation.network().window(pieceBytes);
        Map<Long, Long> beatAt = new TreeMap<>();
        List<Integer> offsets = new ArrayList<>();
        PeerLinks giver = member("10.0.0.1");
        member("10.0.0.2", (from, frame) -> {
            if (frame instanceof ReplicationMessage.FetchChunkResponse piece) {
                offsets.add(piece.offset());
            } else if (frame instanceof ReplicationMessage.HeartbeatRequest beat) {
                beatAt.put(beat.sequence(), TimeUnit.NANOSECONDS.toMillis(simulation.now()));
            }
        });
        giver.send("10.0.0.2:90", new RosterRequest(1, 1));
        simulation.runUntil(ms(500));
        for (int i = 0; i < pieces; i++) {
            giver.send(
                    "10.0.0.2:90",
                    new ReplicationMessage.FetchChunkResponse(1, i, pieces, new byte[pieceBytes], NOTHING_BEFORE));
        }
        for (long seq = 1; seq <= 10; seq++) {
            simulation.runUntil(ms(500 + 100 * seq));
            giver.send("10.0.0.2:90", new ReplicationMessage.HeartbeatRequest(Ballot.NONE, seq, 0, 0, true, false));
        }
        simulation.runUntil(ms(3_000));
        assertEquals(10, beatAt.size(), beatAt::toString);
        beatAt.forEach((seq, at) -> assertTrue(at - (500 + 100 * seq) <= 100, "heartbeats heard at " + beatAt));
        assertEquals(IntStream.range(0, pieces).boxed().toList(), offsets);
    }
}
