package brambletray.platform.configuration;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * The difference from one revision of the configuration to a later one: the entries that were set and removed between
 * them.
 *
 * @param baseRevision the revision that it is applied to; 0: it holds a full configuration
 * @param digest of the result ({@link Configuration#digest})
 */
public record ConfigurationDelta(long baseRevision, long revision, long digest, List<Entry> entries) {
    private static final byte FORMAT = 1;
    private static final int REMOVED = -1;

    /** One entry: {@code table} empty: a field that holds no named items; {@code body} null: withdrawn. */
    public record Entry(String table, String name, byte[] body) {}

    /** As it goes over a slow link: deflated. The same content gives the same bytes. */
    public byte[] toCompressedBytes() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeByte(FORMAT);
            out.writeLong(baseRevision);
            out.writeLong(revision);
            out.writeLong(digest);
            out.writeInt(entries.size());
            for (Entry entry : entries) {
                writeBytes(out, entry.table.getBytes(StandardCharsets.UTF_8));
                writeBytes(out, entry.name.getBytes(StandardCharsets.UTF_8));
                writeBytes(out, entry.body);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return DeltaCompression.compress(bytes.toByteArray());
    }

    /** A number for these bytes, never 0: the same for the same, so that a transfer is known again. */
    public static long transferId(byte[] packed) {
        long id = ConfigurationDigest.of(packed);
        return id == 0 ? 1 : id;
    }

    private static void writeBytes(DataOutputStream out, byte[] bytes) throws IOException {
        out.writeInt(bytes == null ? REMOVED : bytes.length);
        if (bytes != null) {
            out.write(bytes);
        }
    }

    /**
     * From {@link #toCompressedBytes}; {@link ConfigurationException} {@code configuration.bad-packing} or {@code
     * configuration.bad-delta}.
     */
    public static ConfigurationDelta fromCompressedBytes(byte[] packed) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(DeltaCompression.decompress(packed)))) {
            byte format = in.readByte();
            if (format != FORMAT) {
                throw malformed("a difference of format " + FORMAT + ", found " + format, null);
            }
            long baseRevision = in.readLong();
            long revision = in.readLong();
            long digest = in.readLong();
            int count = in.readInt();
            List<Entry> entries = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                String table = readText(in);
                String name = readText(in);
                entries.add(new Entry(table, name, readBytes(in)));
            }
            if (in.available() > 0) {
                throw malformed("nothing after its entries", null);
            }
            return new ConfigurationDelta(baseRevision, revision, digest, entries);
        } catch (IOException e) {
            throw malformed("a complete delta", e);
        }
    }

    private static String readText(DataInputStream in) throws IOException {
        byte[] bytes = readBytes(in);
        if (bytes == null) {
            throw malformed("a name", null);
        }
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private static byte[] readBytes(DataInputStream in) throws IOException {
        int length = in.readInt();
        if (length == REMOVED) {
            return null;
        }
        if (length < 0 || length > in.available()) {
            throw malformed("a complete entry", null);
        }
        return in.readNBytes(length);
    }

    private static ConfigurationException malformed(String expected, Throwable cause) {
        return new ConfigurationException("bad-delta", "", "expected " + expected, cause);
    }
}
