package brambletray.relay.journal;

import brambletray.relay.message.Body;
import brambletray.relay.message.Message;
import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the one file {@code journal} that relays up to 0.1.0 kept. A record is its length (4 bytes), the
 * CRC-32 of its content (4) and the content: a sort (1), the message's number (8) and fields; all big-
 * endian. A tail that does not check is cut off.
 */
final class LegacyJournalReader {
    static final String FILE = "journal";
    static final String FRESH = "journal.new";
    private static final Logger LOG = LoggerFactory.getLogger(LegacyJournalReader.class);
    private static final int HEAD = 8;
    private static final int RECORD_MOST = 1 << 20;
    private static final byte TAKEN = 1;
    private static final byte SENT = 2;
    private static final byte NOT_RUN = 3;
    private static final byte ENDED = 4;
    private static final byte CLOSED = 5;

    /** A message that something is owed for, as it stood in the file. */
    record Owed(Message message, List<Journal.Attempt> attempts, Journal.End[] end) {}

    private LegacyJournalReader() {}

    /** What is owed, in the order in which it was taken on. */
    static Collection<Owed> read(byte[] all) {
        Map<Long, Owed> owed = new LinkedHashMap<>();
        ByteBuffer in = ByteBuffer.wrap(all);
        while (in.remaining() >= HEAD) {
            int length = in.getInt();
            int check = in.getInt();
            if (length < 0 || length > RECORD_MOST || length > in.remaining()) {
                break;
            }
            byte[] content = new byte[length];
            in.get(content);
            CRC32 crc = new CRC32();
            crc.update(content);
            if ((int) crc.getValue() != check) {
                LOG.warn(
                        "old journal cut at a record that does not check, {} bytes dropped",
                        in.remaining() + length + HEAD);
                break;
            }
            try {
                replay(new DataInputStream(new ByteArrayInputStream(content)), owed);
            } catch (IOException | RuntimeException e) {
                // Guards the start: one record that makes no sense must not keep the rest from being served.
                LOG.warn("old journal's record skipped: {}", e.toString());
            }
        }
        return owed.values();
    }

    private static void replay(DataInputStream in, Map<Long, Owed> owed) throws IOException {
        byte sort = in.readByte();
        long number = in.readLong();
        Owed entry = owed.get(number);
        if (sort == TAKEN) {
            owed.put(number, new Owed(message(in), new ArrayList<>(), new Journal.End[1]));
        } else if (entry != null) {
            switch (sort) {
                case SENT -> entry.attempts().add(new Journal.Attempt(in.readLong(), in.readInt()));
                case NOT_RUN -> entry.attempts().get(in.readShort()).mayHaveRun = false;
                case ENDED -> entry.end()[0] = new Journal.End(in.readBoolean(), in.readLong());
                case CLOSED -> owed.remove(number);
                default -> throw new IOException("unknown sort " + sort);
            }
        }
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
                Body.of(in.readNBytes(in.readInt())));
    }

    private static String optional(DataInputStream in) throws IOException {
        return in.readBoolean() ? in.readUTF() : null;
    }
}
