package brambletray.relay.handover;

import brambletray.relay.control.Memory;
import brambletray.relay.control.Relay;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InvalidObjectException;
import java.io.ObjectInputFilter;
import java.io.ObjectInputStream;
import java.io.ObjectOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.zip.CRC32C;

/**
 * The module's memory as bytes: magic 8, version 8, CRC-32C of what follows 4, then a stream of
 * {@link ObjectOutputStream}. Only classes of the module and plain containers are let in, so many of them at
 * most; what does not check, or is of another version, is refused whole.
 */
final class MemoryCodec {
    private static final long MAGIC = 0x4252545354415445L;
    private static final int HEAD = 20;
    private static final int OBJECTS_MOST = 2_000_000;
    private static final int DEPTH_MOST = 2_000;
    private static final int ARRAY_MOST = 1 << 20;
    private static final ObjectInputFilter ONLY = ObjectInputFilter.Config.createFilter(
            "maxrefs=" + OBJECTS_MOST + ";maxdepth=" + DEPTH_MOST + ";maxarray=" + ARRAY_MOST
                    + ";brambletray.relay.control.*;java.util.*;java.lang.Long;java.lang.Number;java.lang.Enum;"
                    + "java.lang.String;java.lang.Object;!*");

    private MemoryCodec() {}

    static byte[] encode(Memory memory) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(64 * 1024);
        bytes.write(new byte[HEAD]);
        try (ObjectOutputStream out = new ObjectOutputStream(bytes)) {
            out.writeObject(memory);
        }
        byte[] all = bytes.toByteArray();
        ByteBuffer.wrap(all).putLong(MAGIC).putLong(Memory.VERSION).putInt(crc(all));
        return all;
    }

    /** Throws where it is not whole, not of this version, or holds what does not belong there. */
    static Memory decode(byte[] bytes) throws IOException {
        if (bytes.length < HEAD) {
            throw new InvalidObjectException("cut off");
        }
        ByteBuffer head = ByteBuffer.wrap(bytes);
        if (head.getLong() != MAGIC || head.getLong() != Memory.VERSION) {
            throw new InvalidObjectException("of another version");
        }
        if (head.getInt() != crc(bytes)) {
            throw new InvalidObjectException("spoilt");
        }
        try (ObjectInputStream in = new ObjectInputStream(new ByteArrayInputStream(bytes, HEAD, bytes.length - HEAD))) {
            in.setObjectInputFilter(ONLY);
            return (Memory) in.readObject();
        } catch (ClassNotFoundException | RuntimeException | StackOverflowError e) {
            throw new InvalidObjectException(String.valueOf(e));
        }
    }

    private static int crc(byte[] bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, HEAD, bytes.length - HEAD);
        return (int) crc.getValue();
    }

    /** Alike only for settings that mean the same: the memory is of no use under others. */
    static String digest(Relay.Settings settings) {
        try {
            byte[] sum = MessageDigest.getInstance("SHA-256")
                    .digest(settings.toString().getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(Arrays.copyOf(sum, 16));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java has SHA-256", e);
        }
    }
}
