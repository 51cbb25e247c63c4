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
 * The difference between one revision of the configuration and a later one: the entries that were set or removed.
 *
 * @param baseRevision the revision that the delta applies to; 0 if it holds a full configuration
 * @param digest digest of the resulting configuration ({@link Configuration#digest})
 */
public record ConfigurationDelta(long baseRevision, long revision, long digest, List<Entry> entries) {
    private static final byte FORMAT = 1;
    private static final int REMOVED = -1;

    /** A changed entry. {@code table} is empty for a field without named items; {@code body} is null if removed. */
    public record Entry(String table, String name, byte[] body) {}

    /** Serializes and deflates the delta for a slow link. The same content always gives the same bytes. */
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

    /** An ID derived from the bytes alone, never 0, by which a transfer of the same bytes is recognized. */
    public static long transferId(byte[] compressed) {
        long id = ConfigurationDigest.of(compressed);
        return id == 0 ? 1 : id;
    }

    private static void writeBytes(DataOutputStream out, byte[] bytes) throws IOException {
        out.writeInt(bytes == null ? REMOVED : bytes.length);
        if (bytes != null) {
            out.write(bytes);
        }
    }

    /**
     * Parses the result of {@link #toCompressedBytes}. Throws {@link ConfigurationException} with code {@code
     * configuration.bad-packing} or {@code configuration.bad-delta} if it is malformed.
     */
    public static ConfigurationDelta fromCompressedBytes(byte[] compressed) {
        try (DataInputStream in =
                new DataInputStream(new ByteArrayInputStream(DeltaCompression.decompress(compressed)))) {
            byte format = in.readByte();
            if (format != FORMAT) {
                throw malformed("a delta of format " + FORMAT + ", found " + format, null);
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
