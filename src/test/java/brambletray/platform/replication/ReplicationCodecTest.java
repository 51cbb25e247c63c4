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

/** Frames as another process has them, and the kept state as the next process has it. */
class ReplicationCodecTest {
    @Test
    void everyMessageTypeIsRegisteredAndRoundTrips() {
        FrameCodec speech = new FrameCodec(List.of(ReplicationMessage.TYPES));
        Set<Class<?>> seen = new HashSet<>();
        for (long seed = 1; seed <= 60; seed++) {
            RandomFaults weather = new RandomFaults(seed, false);
            weather.world().messageTransform = frame -> {
                seen.add(frame.getClass());
                return speech.roundTrip(frame);
            };
            weather.run();
        }
        // hardly ever seen: a patch that doesn't fit
        seen.add(speech.roundTrip(new ReplicationMessage.PatchMismatch(new Ballot(1, 2), 3))
                .getClass());
        Set<Class<?>> never = new HashSet<>(List.of(ReplicationMessage.class.getPermittedSubclasses()));
        never.removeAll(seen);
        assertEquals(Set.of(), never, "frames never sent");
        assertTrue(ReplicationMessage.TYPES.containsAll(List.of(ReplicationMessage.class.getPermittedSubclasses())));
    }

    @Test
    void aNewerFormatVersionIsRejected() {
        Map<String, byte[]> map = new HashMap<>();
        map.put("view.life", new byte[] {9, 0, 0, 0, 0, 0, 0, 0, 1});
        ReplicationException fault = assertThrows(ReplicationException.class, () -> DurableState.read(map));
        assertEquals("replication.form", fault.code());
        assertEquals("stored in form 9, this program reads forms up to 2", fault.getMessage());
    }

    @Test
    void anEmptyDiskHasNoIncarnation() {
        assertEquals(0, DurableState.read(Map.of()).incarnation());
    }

    /** As programs wrote it before the zones of members were kept. */
    @Test
    void aViewOfFormatVersion1IsReadWithoutZones() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream actions = new DataOutputStream(bytes);
        actions.writeByte(1);
        actions.writeBoolean(true);
        actions.writeLong(5);
        actions.writeLong(2);
        for (int list = 0; list < 2; list++) {
            actions.writeInt(1);
            if (list == 1) {
                actions.writeLong(4);
                actions.writeLong(3);
                actions.writeInt(1);
            }
            actions.writeUTF("a:1");
            actions.writeUTF("core-a");
            actions.writeLong(2);
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
        Member placed = new Member("a:1", "core-a", 2, "z");
        View now = new View(new Ballot(5, 2), List.of(placed), List.of());
        assertEquals(now, ReplicationCodec.read(ReplicationCodec.view(now, true), in -> {
            in.readBoolean();
            return ReplicationCodec.view(in);
        }));
    }
}
