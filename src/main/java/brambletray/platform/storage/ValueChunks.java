package brambletray.platform.storage;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import jetbrains.exodus.ArrayByteIterable;
import jetbrains.exodus.ByteIterable;
import jetbrains.exodus.env.Store;
import jetbrains.exodus.env.Transaction;

/**
 * Storage layout of keys and values. A long value is split into chunks, because a record must not be larger than a file
 * of the log.
 */
final class ValueChunks {
    /** First byte of the storage key of a value's first chunk; the other chunks have a different one. */
    static final byte FIRST_CHUNK_PREFIX = 'k';

    private static final byte NEXT_CHUNK_PREFIX = 'p';
    private static final int CHUNK_BYTES = 192 << 10;

    private ValueChunks() {}

    /** Writes or removes a value, and removes left-over chunks of a longer previous value. */
    static void put(Store store, Transaction transaction, KeyChange change, int oldLength) {
        byte[] value = change.value();
        int chunks = value == null ? 0 : Math.max(1, (value.length + CHUNK_BYTES - 1) / CHUNK_BYTES);
        byte[] firstKey = firstChunkKey(change.key());
        for (int i = Math.max(1, chunks); i * (long) CHUNK_BYTES < oldLength; i++) {
            store.delete(transaction, nextChunkKey(firstKey, i));
        }
        if (value == null) {
            store.delete(transaction, new ArrayByteIterable(firstKey));
            return;
        }
        int first = Math.min(CHUNK_BYTES, value.length);
        store.put(
                transaction,
                new ArrayByteIterable(firstKey),
                new ArrayByteIterable(ByteBuffer.allocate(Integer.BYTES + first)
                        .putInt(value.length)
                        .put(value, 0, first)
                        .array()));
        for (int i = 1; i < chunks; i++) {
            byte[] chunk = Arrays.copyOfRange(value, i * CHUNK_BYTES, Math.min(value.length, (i + 1) * CHUNK_BYTES));
            store.put(transaction, nextChunkKey(firstKey, i), new ArrayByteIterable(chunk));
        }
    }

    /** The value that starts with this first chunk; null if a chunk is missing or invalid. */
    static byte[] readValue(Store store, Transaction transaction, byte[] firstKey, byte[] first) {
        if (first.length < Integer.BYTES) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(first);
        int length = in.getInt();
        if (length < in.remaining() || length > KeyValueStore.MAX_VALUE_BYTES) {
            return null;
        }
        byte[] value = new byte[length];
        int done = in.remaining();
        in.get(value, 0, done);
        for (int i = 1; done < length; i++) {
            ByteIterable found = store.get(transaction, nextChunkKey(firstKey, i));
            if (found == null || found.getLength() == 0 || found.getLength() > length - done) {
                return null;
            }
            byte[] chunk = bytes(found);
            System.arraycopy(chunk, 0, value, done, chunk.length);
            done += chunk.length;
        }
        return value;
    }

    static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** The storage key of a value's first chunk. */
    static byte[] firstChunkKey(String key) {
        byte[] utf8Key = utf8(key);
        byte[] firstKey = new byte[utf8Key.length + 1];
        firstKey[0] = FIRST_CHUNK_PREFIX;
        System.arraycopy(utf8Key, 0, firstKey, 1, utf8Key.length);
        return firstKey;
    }

    /** The inverse of {@link #firstChunkKey}. */
    static String keyOf(byte[] firstKey) {
        return new String(firstKey, 1, firstKey.length - 1, StandardCharsets.UTF_8);
    }

    static byte[] bytes(ByteIterable value) {
        return Arrays.copyOf(value.getBytesUnsafe(), value.getLength());
    }

    private static ArrayByteIterable nextChunkKey(byte[] firstKey, int index) {
        byte[] key = ByteBuffer.allocate(firstKey.length + 1 + Integer.BYTES)
                .put(firstKey)
                .put((byte) 0)
                .putInt(index)
                .array();
        key[0] = NEXT_CHUNK_PREFIX;
        return new ArrayByteIterable(key);
    }
}
