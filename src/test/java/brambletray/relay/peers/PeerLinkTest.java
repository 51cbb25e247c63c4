package brambletray.relay.peers;

import static org.junit.jupiter.api.Assertions.*;

import brambletray.common.runtime.Machine;
import brambletray.common.yaml.Faults;
import brambletray.relay.recovery.FolderFinding;
import brambletray.relay.recovery.StoreFreshness;
import brambletray.relay.recovery.WitnessReport;
import brambletray.relay.store.MemoryDisk;
import brambletray.relay.store.Store;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The link against a witness whose answers the test gives; and its file. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class PeerLinkTest {
    private static final byte[] KEY = "0123456789abcdef".getBytes();

    @TempDir
    Path folder;

    private static PeerMessage receive(DatagramSocket witness, PeerMessageCodec codec) throws IOException {
        DatagramPacket packet = new DatagramPacket(new byte[512], 512);
        witness.receive(packet);
        return codec.decode(Arrays.copyOf(packet.getData(), packet.getLength()));
    }

    /** An answer to an earlier question, kept and sent again, says nothing of now. */
    @Test
    void onlyAnswersToThisQuestionCount() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (DatagramSocket witness = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            witness.setSoTimeout(30_000);
            PeerMessageCodec codec = new PeerMessageCodec("c", KEY);
            PeersFile file = new PeersFile(
                    "c",
                    "me",
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                    Map.of("w", (InetSocketAddress) witness.getLocalSocketAddress()),
                    KEY,
                    50,
                    30_000,
                    false);
            Store store = Store.open(new MemoryDisk(), new Store.Options(1_000_000, Store.Promise.PROCESS, 1_000));
            PeerLink siblings = new PeerLink(Machine.real(group.next()), file, store);
            siblings.listen().sync();
            StoreFreshness own = new StoreFreshness(1, 2, 3);
            StoreFreshness later = new StoreFreshness(1, 9, 3);
            Future<FolderFinding> found = siblings.inquire(own, 1_000);
            PeerMessage.WitnessRequest request = (PeerMessage.WitnessRequest) receive(witness, codec);
            for (PeerMessage message : new PeerMessage[] {
                new PeerMessage.WitnessResponse("w", request.nonce() + 1, new WitnessReport.Seen(later, 9_000, 1)),
                new PeerMessage.WitnessResponse("stranger", request.nonce(), new WitnessReport.Seen(later, 9_000, 1)),
                new PeerMessage.WitnessResponse("w", request.nonce(), new WitnessReport.Seen(own, 9_000, 1))
            }) {
                byte[] bytes = codec.encode(message);
                witness.send(new DatagramPacket(bytes, bytes.length, siblings.address()));
            }
            assertEquals(new FolderFinding.Current(), found.get());
            // And it answers, of whom it has heard nothing.
            byte[] asked = codec.encode(new PeerMessage.WitnessRequest("w", 77));
            witness.send(new DatagramPacket(asked, asked.length, siblings.address()));
            PeerMessage told = receive(witness, codec);
            while (told instanceof PeerMessage.WitnessRequest) {
                told = receive(witness, codec);
            }
            PeerMessage.WitnessResponse response = assertInstanceOf(PeerMessage.WitnessResponse.class, told);
            assertEquals(77, response.nonce());
            assertInstanceOf(WitnessReport.NotSeen.class, response.report());
            siblings.close();
        } finally {
            group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
        }
    }

    private String faults(String text) throws IOException {
        Files.write(folder.resolve("key"), KEY);
        Files.write(folder.resolve("short"), new byte[3]);
        Path file = Files.writeString(folder.resolve("s.yaml"), text);
        return assertThrows(Faults.class, () -> PeersFile.read(file)).getMessage();
    }

    @Test
    void everyFaultOfTheFileIsNamedWithItsPlace() throws IOException {
        String said = faults("""
            cluster: a b
            name: me
            listen: here
            key_file: key
            unconfirmed: maybe
            siblings:
              - {name: me, address: '127.0.0.1:1'}
              - {name: x, address: '127.0.0.1'}
              - {name: x, address: '127.0.0.1:2', port: 3}
            """);
        for (String part :
                new String[] {"s.yaml:1:", "s.yaml:3:", "s.yaml:5:", "s.yaml:7:", "s.yaml:8:", "s.yaml:9:"}) {
            assertTrue(said.contains(part), part + " in " + said);
        }
        assertTrue(faults("""
            cluster: c
            name: me
            listen: 127.0.0.1:0
            key_file: short
            siblings: [{name: x, address: '127.0.0.1:2'}]
            """).contains("has 3"));
    }
}
