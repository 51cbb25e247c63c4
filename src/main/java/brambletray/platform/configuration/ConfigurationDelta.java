package brambletray.platform.configuration;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The difference between one revision of the configuration and a later one: the entries that were set or removed.
 *
 * @param baseRevision the revision that the delta applies to; 0 if it holds a full configuration
 * @param digest digest of the resulting configuration ({@link Configuration#digest})
 */
public record ConfigurationDelta(long baseRevision, long revision, long digest, List<Entry> entries) {
    /** Each entry begins with the name of its table. */
    private static final byte FORMAT_WITH_TABLE_NAMES = 1;
    /**
     * The names of all tables come first, and each entry begins with the index of its table. So a full configuration
     * takes at most twice the bytes of its JSON, however long the name of a table with many items is.
     */
    private static final byte FORMAT_WITH_TABLE_INDICES = 2;

    private static final int REMOVED = -1;
    /** Format, base revision, revision, digest and number of entries. */
    private static final int HEADER_BYTES = 1 + 3 * Long.BYTES + Integer.BYTES;

    /** A changed entry. {@code table} is empty for a field without named items; {@code body} is null if removed. */
    public record Entry(String table, String name, byte[] body) {}

    /**
     * Serializes and deflates the delta for a slow link. The same content always gives the same bytes. The format that
     * earlier versions can read is preferred, as long as they accept its size.
     */
    public byte[] toCompressedBytes() {
        byte format = sizeWithTableNames() > DeltaCompression.MAX_DECOMPRESSED_BYTES
                ? FORMAT_WITH_TABLE_INDICES
                : FORMAT_WITH_TABLE_NAMES;
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeByte(format);
            out.writeLong(baseRevision);
            out.writeLong(revision);
            out.writeLong(digest);
            if (format == FORMAT_WITH_TABLE_INDICES) {
                writeEntriesWithTableIndices(out);
            } else {
                writeEntriesWithTableNames(out);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return DeltaCompression.compress(bytes.toByteArray());
    }

    private long sizeWithTableNames() {
        long size = HEADER_BYTES;
        for (Entry entry : entries) {
            int bodyBytes = entry.body == null ? 0 : entry.body.length;
            size += 3L * Integer.BYTES + utf8(entry.table).length + utf8(entry.name).length + bodyBytes;
        }
        return size;
    }

    private void writeEntriesWithTableNames(DataOutputStream out) throws IOException {
        out.writeInt(entries.size());
        for (Entry entry : entries) {
            writeBytes(out, utf8(entry.table));
            writeBytes(out, utf8(entry.name));
            writeBytes(out, entry.body);
        }
    }

    private void writeEntriesWithTableIndices(DataOutputStream out) throws IOException {
        Map<String, Integer> tableIndices = new LinkedHashMap<>();
        for (Entry entry : entries) {
            tableIndices.putIfAbsent(entry.table, tableIndices.size());
        }
        out.writeInt(tableIndices.size());
        for (String table : tableIndices.keySet()) {
            writeBytes(out, utf8(table));
        }
        out.writeInt(entries.size());
        for (Entry entry : entries) {
            out.writeInt(tableIndices.get(entry.table));
            writeBytes(out, utf8(entry.name));
            writeBytes(out, entry.body);
        }
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
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
            if (format != FORMAT_WITH_TABLE_NAMES && format != FORMAT_WITH_TABLE_INDICES) {
                throw malformed("a delta of format " + FORMAT_WITH_TABLE_INDICES + ", found " + format, null);
            }
            long baseRevision = in.readLong();
            long revision = in.readLong();
            long digest = in.readLong();
            List<String> tables = format == FORMAT_WITH_TABLE_INDICES ? readTables(in) : null;
            int count = in.readInt();
            List<Entry> entries = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                String table = tables == null ? readText(in) : tableAt(in.readInt(), tables);
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

    private static List<String> readTables(DataInputStream in) throws IOException {
        int count = in.readInt();
        List<String> tables = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            tables.add(readText(in));
        }
        return tables;
    }

    private static String tableAt(int index, List<String> tables) {
        if (index < 0 || index >= tables.size()) {
            throw malformed("the index of one of " + tables.size() + " tables, found " + index, null);
        }
        return tables.get(index);
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
