package brambletray.relay.siblings;

import static org.junit.jupiter.api.Assertions.*;

import brambletray.common.runtime.Machine;
import brambletray.common.yaml.Faults;
import brambletray.relay.recovery.Account;
import brambletray.relay.recovery.Finding;
import brambletray.relay.recovery.Standing;
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
class SiblingsTest {
    private static final byte[] KEY = "0123456789abcdef".getBytes();

    @TempDir
    Path folder;

    private static Note receive(DatagramSocket witness, NoteCodec codec) throws IOException {
        DatagramPacket packet = new DatagramPacket(new byte[512], 512);
        witness.receive(packet);
        return codec.read(Arrays.copyOf(packet.getData(), packet.getLength()));
    }

    /** An answer to an earlier question, kept and sent again, says nothing of now. */
    @Test
    void onlyAnswersToThisQuestionCount() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (DatagramSocket witness = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            witness.setSoTimeout(30_000);
            NoteCodec codec = new NoteCodec("c", KEY);
            SiblingsFile file = new SiblingsFile(
                    "c",
                    "me",
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                    Map.of("w", (InetSocketAddress) witness.getLocalSocketAddress()),
                    KEY,
                    50,
                    30_000,
                    false);
            Store store = Store.open(new MemoryDisk(), new Store.Options(1_000_000, Store.Promise.PROCESS, 1_000));
            Siblings siblings = new Siblings(Machine.real(group.next()), file, store);
            siblings.listen().sync();
            Standing own = new Standing(1, 2, 3);
            Standing later = new Standing(1, 9, 3);
            Future<Finding> found = siblings.ask(own, 1_000);
            Note.Ask ask = (Note.Ask) receive(witness, codec);
            for (Note note : new Note[] {
                new Note.Tell("w", ask.nonce() + 1, new Account.Seen(later, 9_000, 1)),
                new Note.Tell("stranger", ask.nonce(), new Account.Seen(later, 9_000, 1)),
                new Note.Tell("w", ask.nonce(), new Account.Seen(own, 9_000, 1))
            }) {
                byte[] bytes = codec.bytes(note);
                witness.send(new DatagramPacket(bytes, bytes.length, siblings.address()));
            }
            assertEquals(new Finding.Continues(), found.get());
            // And it answers, of whom it has heard nothing.
            byte[] asked = codec.bytes(new Note.Ask("w", 77));
            witness.send(new DatagramPacket(asked, asked.length, siblings.address()));
            Note told = receive(witness, codec);
            while (told instanceof Note.Ask) {
                told = receive(witness, codec);
            }
            Note.Tell tell = assertInstanceOf(Note.Tell.class, told);
            assertEquals(77, tell.nonce());
            assertInstanceOf(Account.Never.class, tell.account());
            siblings.close();
        } finally {
            group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
        }
    }

    private String faults(String text) throws IOException {
        Files.write(folder.resolve("key"), KEY);
        Files.write(folder.resolve("short"), new byte[3]);
        Path file = Files.writeString(folder.resolve("s.yaml"), text);
        return assertThrows(Faults.class, () -> SiblingsFile.read(file)).getMessage();
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
