package brambletray.relay.store;

import brambletray.relay.message.Message;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The journal that relays up to 0.1.0 had, as it was: the measure for what came after it.
 *
 * <p>What this relay owes, in one append-only file of the lasting folder.
 *
 * <p>A record is its length (4 bytes), the CRC-32 of its content (4 bytes) and the content: its sort, the
 * number of the message, and what the sort asks for. A tail that does not check is cut off at the start. The
 * file is written anew when it has grown; old and new file together stay within the limit, for which each
 * message reserves room.
 */
final class FormerJournal implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(FormerJournal.class);
    private static final int HEAD = 8;
    private static final int RECORD_MOST = 1 << 20;
    /** Bytes kept clear of the limit, for what the file system rounds up. */
    private static final long CLEAR = 8_192;
    /**
     * Share of the room that live messages may reserve; the rest is for the old file and for growth between
     * rewrites.
     */
    private static final double LIVE_SHARE = 0.4;
    /** Bytes of a send with its outcome, and of an end with its notice. */
    private static final int ATTEMPT_BYTES = (HEAD + 23) + (HEAD + 11);

    private static final int END_BYTES = (HEAD + 18) + (HEAD + 9);

    private static final byte TAKEN = 1;
    private static final byte SENT = 2;
    private static final byte NOT_RUN = 3;
    private static final byte ENDED = 4;
    private static final byte CLOSED = 5;

    /** One send of a message. {@code sent}: Unix time, ms; {@code zone}: its host's. */
    public static final class Attempt {
        public final long sent;
        public final int zone;
        public boolean mayHaveRun = true;

        Attempt(long sent, int zone) {
            this.sent = sent;
            this.zone = zone;
        }
    }

    /** The end that was decided for a message; its notice is owed until it is acknowledged. */
    public record End(boolean handedBack, long retryAfter) {}

    /** A message that something is owed for. */
    public static final class Entry {
        public final long number;
        public final Message message;
        public final List<Attempt> attempts = new ArrayList<>();
        public End end;
        private long reserved;

        private Entry(long number, Message message) {
            this.number = number;
            this.message = message;
        }
    }

    private final Path file;
    private final Path fresh;
    private final long room;
    private final int mostAttempts;
    private final Map<Long, Entry> entries = new LinkedHashMap<>();
    private FileChannel out;
    /** A write has failed: the file is written anew before the next. */
    private boolean behind;

    private long size;
    private long reserved;
    private long last;

    /** Opens the folder's journal and reads what is owed. */
    FormerJournal(Path folder, long limit, int mostAttempts) throws IOException {
        this.file = folder.resolve("journal");
        this.fresh = folder.resolve("journal.new");
        this.room = limit - CLEAR;
        this.mostAttempts = mostAttempts;
        Files.deleteIfExists(fresh);
        if (Files.exists(file)) {
            load(Files.readAllBytes(file));
        }
        rewrite();
    }

    /** The messages that something is owed for, in the order in which they were taken on. */
    public Collection<Entry> owed() {
        return List.copyOf(entries.values());
    }

    /** Writes a message down; null if there is no room for it until its end. */
    public Entry take(Message message) throws IOException {
        Entry entry = new Entry(last + 1, message);
        byte[] record = taken(entry);
        entry.reserved = reserve(record.length);
        if (reserved + entry.reserved > room * LIVE_SHARE) {
            return null;
        }
        append(record);
        last++;
        reserved += entry.reserved;
        entries.put(entry.number, entry);
        return entry;
    }

    /** To be written before the first byte of a send goes out: from then on it may have run. */
    public void sent(Entry entry, long time, int zone) throws IOException {
        Attempt attempt = new Attempt(time, zone);
        try {
            append(sent(entry, attempt));
        } catch (IOException e) {
            // It is not sent then; it keeps its number, so that later attempts keep theirs.
            attempt.mayHaveRun = false;
            throw e;
        } finally {
            entry.attempts.add(attempt);
        }
    }

    /** An outcome has proved that the attempt never ran. */
    public void notRun(Entry entry, int attempt) throws IOException {
        entry.attempts.get(attempt).mayHaveRun = false;
        append(record(NOT_RUN, entry.number, o -> o.writeShort(attempt)));
    }

    /** An end was decided: a notice is owed. */
    public void ended(Entry entry, End end) throws IOException {
        entry.end = end;
        append(ended(entry.number, end));
    }

    /** Nothing more is owed: delivered, withdrawn, or its notice acknowledged. */
    public void closed(Entry entry) throws IOException {
        forget(entry.number);
        append(record(CLOSED, entry.number, o -> {}));
    }

    @Override
    public void close() throws IOException {
        out.close();
    }

    private long reserve(int taken) {
        return taken + (long) mostAttempts * ATTEMPT_BYTES + END_BYTES;
    }

    private void forget(long number) {
        Entry gone = entries.remove(number);
        reserved -= gone == null ? 0 : gone.reserved;
    }

    // ---- The file -------------------------------------------------------------------------------
    private void append(byte[] record) throws IOException {
        if (behind || size + record.length + reserved > room) {
            rewrite();
        }
        behind = true;
        write(out, record);
        behind = false;
        size += record.length;
    }

    /** A record cut short by a fault is taken back, lest what follows it be lost with it. */
    private void write(FileChannel channel, byte[] record) throws IOException {
        long before = channel.position();
        try {
            for (ByteBuffer left = ByteBuffer.wrap(record); left.hasRemaining(); ) {
                channel.write(left);
            }
        } catch (IOException e) {
            channel.truncate(before);
            throw e;
        }
    }

    /** Writes what is owed to a new file and puts it in the old one's place. */
    private void rewrite() throws IOException {
        FileChannel next = FileChannel.open(
                fresh, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE);
        try {
            for (Entry entry : entries.values()) {
                write(next, taken(entry));
                for (int i = 0; i < entry.attempts.size(); i++) {
                    int attempt = i;
                    write(next, sent(entry, entry.attempts.get(i)));
                    if (!entry.attempts.get(i).mayHaveRun) {
                        write(next, record(NOT_RUN, entry.number, o -> o.writeShort(attempt)));
                    }
                }
                if (entry.end != null) {
                    write(next, ended(entry.number, entry.end));
                }
            }
            Files.move(fresh, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            next.close();
            Files.deleteIfExists(fresh);
            throw e;
        }
        if (out != null) {
            out.close();
        }
        out = next;
        behind = false;
        size = next.position();
    }

    private void load(byte[] all) throws IOException {
        ByteBuffer in = ByteBuffer.wrap(all);
        while (in.remaining() >= HEAD) {
            int length = in.getInt();
            int check = in.getInt();
            if (length < 0 || length > RECORD_MOST || length > in.remaining()) {
                break;
            }
            byte[] content = new byte[length];
            in.get(content);
            if (crc(content) != check) {
                LOG.warn(
                        "journal cut at a record that does not check, {} bytes dropped",
                        in.remaining() + length + HEAD);
                return;
            }
            try {
                replay(new DataInputStream(new ByteArrayInputStream(content)), length + HEAD);
            } catch (IOException | RuntimeException e) {
                // Guards the start: one record that makes no sense must not keep the rest from being served.
                LOG.warn("journal record skipped: {}", e.toString());
            }
        }
    }

    private void replay(DataInputStream in, int bytes) throws IOException {
        byte sort = in.readByte();
        long number = in.readLong();
        last = Math.max(last, number);
        Entry entry = entries.get(number);
        if (sort == TAKEN) {
            entry = new Entry(number, message(in));
            entry.reserved = reserve(bytes);
            reserved += entry.reserved;
            entries.put(number, entry);
        } else if (entry != null) {
            switch (sort) {
                case SENT -> entry.attempts.add(new Attempt(in.readLong(), in.readInt()));
                case NOT_RUN -> entry.attempts.get(in.readShort()).mayHaveRun = false;
                case ENDED -> entry.end = new End(in.readBoolean(), in.readLong());
                case CLOSED -> forget(number);
                default -> throw new IOException("journal holds a record of unknown sort " + sort);
            }
        }
    }

    // ---- Records --------------------------------------------------------------------------------
    private interface Body {
        void write(DataOutputStream out) throws IOException;
    }

    private static byte[] record(byte sort, long number, Body body) throws IOException {
        ByteArrayOutputStream content = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(content);
        out.writeByte(sort);
        out.writeLong(number);
        body.write(out);
        byte[] bytes = content.toByteArray();
        return ByteBuffer.allocate(HEAD + bytes.length)
                .putInt(bytes.length)
                .putInt(crc(bytes))
                .put(bytes)
                .array();
    }

    private static byte[] taken(Entry entry) throws IOException {
        Message m = entry.message;
        return record(TAKEN, entry.number, o -> {
            o.writeUTF(m.id());
            o.writeUTF(m.messageClass());
            o.writeInt(m.tenant());
            optional(o, m.routeKey());
            optional(o, m.idempotencyKey());
            o.writeLong(m.destination());
            o.writeLong(m.deadline());
            o.writeInt(m.body().length());
            o.write(m.body().bytes());
        });
    }

    private static Message message(DataInputStream in) throws IOException {
        return new Message(
                in.readUTF(),
                in.readUTF(),
                in.readInt(),
                optional(in),
                optional(in),
                in.readLong(),
                in.readLong(),
                brambletray.relay.message.Body.of(in.readNBytes(in.readInt())));
    }

    private static byte[] sent(Entry entry, Attempt attempt) throws IOException {
        return record(SENT, entry.number, o -> {
            o.writeLong(attempt.sent);
            o.writeInt(attempt.zone);
        });
    }

    private static byte[] ended(long number, End end) throws IOException {
        return record(ENDED, number, o -> {
            o.writeBoolean(end.handedBack());
            o.writeLong(end.retryAfter());
        });
    }

    private static void optional(DataOutputStream out, String text) throws IOException {
        out.writeBoolean(text != null);
        if (text != null) {
            out.writeUTF(text);
        }
    }

    private static String optional(DataInputStream in) throws IOException {
        return in.readBoolean() ? in.readUTF() : null;
    }

    private static int crc(byte[] bytes) {
        CRC32 crc = new CRC32();
        crc.update(bytes);
        return (int) crc.getValue();
    }
}
