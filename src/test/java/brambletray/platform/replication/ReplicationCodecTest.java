package brambletray.platform.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.platform.transport.FrameCodec;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Encoding of messages between members and of the stored state. */
class ReplicationCodecTest {
    @Test
    void everyMessageTypeIsRegisteredAndRoundTrips() {
        FrameCodec codec = new FrameCodec(List.of(ReplicationMessage.TYPES));
        Set<Class<?>> seen = new HashSet<>();
        for (long seed = 1; seed <= 60; seed++) {
            RandomFaults faults = new RandomFaults(seed, false);
            faults.world().messageTransform = frame -> {
                seen.add(frame.getClass());
                return codec.roundTrip(frame);
            };
            faults.run();
        }
        // a patch mismatch is too rare to occur reliably in these runs
        seen.add(codec.roundTrip(new ReplicationMessage.PatchMismatch(new Ballot(1, 2), 3))
                .getClass());
        Set<Class<?>> missing = new HashSet<>(List.of(ReplicationMessage.class.getPermittedSubclasses()));
        missing.removeAll(seen);
        assertEquals(Set.of(), missing, "message types never sent");
        assertTrue(ReplicationMessage.TYPES.containsAll(List.of(ReplicationMessage.class.getPermittedSubclasses())));
    }

    @Test
    void aNewerFormatVersionIsRejected() {
        Map<String, byte[]> map = new HashMap<>();
        map.put("view.life", new byte[] {9, 0, 0, 0, 0, 0, 0, 0, 1});
        ReplicationException exception = assertThrows(ReplicationException.class, () -> DurableState.read(map));
        assertEquals("replication.form", exception.code());
        assertEquals("unsupported format version 9; this release reads versions up to 2", exception.getMessage());
    }

    @Test
    void anEmptyDiskHasNoIncarnation() {
        assertEquals(0, DurableState.read(Map.of()).incarnation());
    }

    /** Version 1 of the format, written before members had zones. */
    @Test
    void aViewOfFormatVersion1IsReadWithoutZones() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeByte(1);
        out.writeBoolean(true);
        out.writeLong(5);
        out.writeLong(2);
        for (int list = 0; list < 2; list++) {
            out.writeInt(1);
            if (list == 1) {
                out.writeLong(4);
                out.writeLong(3);
                out.writeInt(1);
            }
            out.writeUTF("a:1");
            out.writeUTF("core-a");
            out.writeLong(2);
        }
        View view = ReplicationCodec.read(bytes.toByteArray(), in -> {
            in.readBoolean();
            return ReplicationCodec.view(in);
        });
        Member member = new Member("a:1", "core-a", 2);
        assertEquals(
                new View(
                        new Ballot(5, 2),
                        List.of(member),
                        List.of(new ViewMembership(new Ballot(4, 3), List.of(member)))),
                view);
        Member memberWithZone = new Member("a:1", "core-a", 2, "z");
        View currentView = new View(new Ballot(5, 2), List.of(memberWithZone), List.of());
        assertEquals(currentView, ReplicationCodec.read(ReplicationCodec.view(currentView, true), in -> {
            in.readBoolean();
            return ReplicationCodec.view(in);
        }));
    }
}
