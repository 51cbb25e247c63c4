package brambletray.platform.storage;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import jetbrains.exodus.ArrayByteIterable;
import jetbrains.exodus.ByteIterable;
import jetbrains.exodus.env.Store;
import jetbrains.exodus.env.Transaction;

/**
 * How keys and values lie in a store: a value that is long is cut into pieces, as none may be longer than a file of the
 * log.
 */
final class ValueChunks {
    /** What the keys of values begin with; those of their further pieces begin with another. */
    static final byte HEAD = 'k';

    private static final byte FURTHER = 'p';
    private static final int PIECE = 192 << 10;

    private ValueChunks() {}

    /** Writes a value, or removes it, and what is left of a longer one before. */
    static void put(Store store, Transaction t, KeyChange change, int oldLength) {
        byte[] value = change.value();
        int pieces = value == null ? 0 : Math.max(1, (value.length + PIECE - 1) / PIECE);
        byte[] head = head(change.key());
        for (int i = Math.max(1, pieces); i * (long) PIECE < oldLength; i++) {
            store.delete(t, further(head, i));
        }
        if (value == null) {
            store.delete(t, new ArrayByteIterable(head));
            return;
        }
        int first = Math.min(PIECE, value.length);
        store.put(
                t,
                new ArrayByteIterable(head),
                new ArrayByteIterable(ByteBuffer.allocate(Integer.BYTES + first)
                        .putInt(value.length)
                        .put(value, 0, first)
                        .array()));
        for (int i = 1; i < pieces; i++) {
            byte[] piece = Arrays.copyOfRange(value, i * PIECE, Math.min(value.length, (i + 1) * PIECE));
            store.put(t, further(head, i), new ArrayByteIterable(piece));
        }
    }

    /** The whole value whose first piece this is; null if a piece is not as it was written. */
    static byte[] whole(Store store, Transaction t, byte[] head, byte[] first) {
        if (first.length < Integer.BYTES) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(first);
        int length = in.getInt();
        if (length < in.remaining() || length > KeyValueStore.LONGEST) {
            return null;
        }
        byte[] value = new byte[length];
        int done = in.remaining();
        in.get(value, 0, done);
        for (int i = 1; done < length; i++) {
            ByteIterable found = store.get(t, further(head, i));
            if (found == null || found.getLength() == 0 || found.getLength() > length - done) {
                return null;
            }
            byte[] piece = bytes(found);
            System.arraycopy(piece, 0, value, done, piece.length);
            done += piece.length;
        }
        return value;
    }

    static byte[] utf(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** The key of a value's first piece. */
    static byte[] head(String key) {
        byte[] utf = utf(key);
        byte[] head = new byte[utf.length + 1];
        head[0] = HEAD;
        System.arraycopy(utf, 0, head, 1, utf.length);
        return head;
    }

    /** The key that {@link #head} was made of. */
    static String name(byte[] head) {
        return new String(head, 1, head.length - 1, StandardCharsets.UTF_8);
    }

    static byte[] bytes(ByteIterable value) {
        return Arrays.copyOf(value.getBytesUnsafe(), value.getLength());
    }

    private static ArrayByteIterable further(byte[] head, int index) {
        byte[] key = ByteBuffer.allocate(head.length + 1 + Integer.BYTES)
                .put(head)
                .put((byte) 0)
                .putInt(index)
                .array();
        key[0] = FURTHER;
        return new ArrayByteIterable(key);
    }
}
