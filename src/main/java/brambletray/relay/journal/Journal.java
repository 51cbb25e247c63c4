package brambletray.relay.journal;

import brambletray.relay.message.Body;
import brambletray.relay.message.Message;
import brambletray.relay.message.Origin;
import brambletray.relay.store.Chain;
import brambletray.relay.store.Damage;
import brambletray.relay.store.Disk;
import brambletray.relay.store.RealDisk;
import brambletray.relay.store.Store;
import brambletray.relay.store.UncertainWrite;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What this relay owes: a typed layer over the {@link Store}, where each message is one chain of name space
 * {@link #SPACE}. What is noted is staged, and lasts from the {@link #commit} on.
 *
 * <p>A chain begins with the message (sort 0, time taken 8, id, class, tenant 4, route key, idempotency key,
 * destination 8, deadline 8, origin if any, body); behind it come its sends (1, time 8, zone 4), outcomes
 * that prove that an attempt never ran (2, number 2) and its end (3, handed back 1, time to come back 8).
 */
public final class Journal implements AutoCloseable {
    /** Name space of the store that is the journal's. */
    public static final byte SPACE = 1;
    /** Zone of an attempt of which nothing is known. */
    public static final int NO_ZONE = -1;

    private static final Logger LOG = LoggerFactory.getLogger(Journal.class);
    private static final byte TAKEN = 0;
    private static final byte SENT = 1;
    private static final byte NOT_RUN = 2;
    private static final byte ENDED = 3;
    private static final int SENT_BYTES = 13;
    private static final int NOT_RUN_BYTES = 3;
    private static final int ENDED_BYTES = 10;
    /** Bytes of values kept in memory; what is held may be more. */
    private static final long CACHE = 4 << 20;
    /** Bytes staged at most before they are written: a batch stays well below a segment. */
    private static final int BATCH_MOST = 96 * 1024;

    /** One send of a message. {@code sent}: Unix time, ms; {@code zone}: its host's. */
    public static final class Attempt {
        public final long sent;
        public final int zone;
        public boolean mayHaveRun = true;

        public Attempt(long sent, int zone) {
            this.sent = sent;
            this.zone = zone;
        }
    }

    /** The end that was decided for a message; its notice is owed until it is acknowledged. */
    public record End(boolean handedBack, long retryAfter) {}

    /** A message that something is owed for. */
    public static final class Entry {
        public final long number;
        public Message message;
        public final List<Attempt> attempts = new ArrayList<>();
        public End end;
        /** Unix time, ms, at which it was taken on. */
        private long taken;

        private Chain chain;
        /** Its last commit failed: it was never taken on; or nobody knows. */
        private boolean refused;

        private boolean uncertain;

        private Entry(long number, Message message) {
            this.number = number;
            this.message = message;
        }

        /** False where it could not be written down. */
        public boolean held() {
            return !refused;
        }

        /** It could not be written down, and may be found all the same after a restart. */
        public boolean uncertain() {
            return uncertain;
        }
    }

    private final Store store;
    private final int mostAttempts;
    private final Map<Long, Entry> entries = new LinkedHashMap<>();
    /**
     * A note that is staged; {@code send}: the number of the attempt that it tells of, -1 for other notes.
     */
    private record Note(Entry entry, byte[] value, int send) {}

    /** Staged: messages and notes of this batch, and chains that end with it. */
    private final List<Entry> taking = new ArrayList<>();

    private final List<Note> noting = new ArrayList<>();
    private final List<Chain> closing = new ArrayList<>();
    private long last;

    private Journal(Store store, int mostAttempts) {
        this.store = store;
        this.mostAttempts = mostAttempts;
    }

    /** Opens the journal of a folder; what a commit outlasts is the process. */
    public Journal(Path folder, long limit, int mostAttempts) throws IOException {
        this(open(new RealDisk(folder), limit, Store.Promise.PROCESS), mostAttempts);
        takeUp();
    }

    /** Opens a folder's journal and reads what is owed. {@code limit}: bytes on disk. */
    public static Journal open(Disk disk, long limit, Store.Promise promise, int mostAttempts) throws IOException {
        Journal journal = new Journal(open(disk, limit, promise), mostAttempts);
        journal.takeUp();
        return journal;
    }

    private static Store open(Disk disk, long limit, Store.Promise promise) throws IOException {
        Store.Options options = new Store.Options(limit, promise, CACHE);
        if (disk.exists(LegacyJournalReader.FILE)) {
            return Moving.over(disk, options);
        }
        disk.delete(LegacyJournalReader.FRESH);
        return Store.open(disk, options);
    }

    private void takeUp() throws IOException {
        for (Damage damage : store.found().damages()) {
            switch (damage.kind()) {
                case HOLE ->
                    LOG.error(
                            "store damaged: {}; {} messages from before it count as perhaps sent,"
                                    + " and messages taken on there may be lost: see docs/store.md",
                            damage,
                            store.found().doubtful());
                case TORN_TAIL -> LOG.warn("store: {}; cut off, nobody had been told of it", damage);
                default -> LOG.warn("store: {}", damage);
            }
        }
        for (Chain chain : store.chains(SPACE)) {
            last = Math.max(last, chain.key());
            try {
                Entry entry = read(chain);
                entries.put(entry.number, entry);
                store.reserve(chain, reserveFor(entry));
            } catch (IOException | RuntimeException e) {
                // Guards the start: one record that makes no sense must not keep the rest from being served.
                LOG.error("store: message {} can't be read and is left out: {}", chain.key(), e.toString());
            }
        }
    }

    private Entry read(Chain chain) throws IOException {
        byte[] first = store.read(chain, 0);
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(first));
        if (in.readByte() != TAKEN) {
            throw new IOException("it does not begin with a message");
        }
        long taken = in.readLong();
        Message message = new Message(
                in.readUTF(),
                in.readUTF(),
                in.readInt(),
                optional(in),
                optional(in),
                in.readLong(),
                in.readLong(),
                null,
                origin(in));
        Entry entry = new Entry(chain.key(), message);
        entry.chain = chain;
        entry.taken = taken;
        entry.message = message.withBody(new Kept(chain, first.length - in.available(), in.available()));
        for (int i = 1; i < chain.size(); i++) {
            DataInputStream more = new DataInputStream(new ByteArrayInputStream(store.read(chain, i)));
            byte sort = more.readByte();
            switch (sort) {
                case SENT -> entry.attempts.add(new Attempt(more.readLong(), more.readInt()));
                case NOT_RUN -> {
                    // Where records may be missing, numbers of attempts mean nothing: all may have run.
                    if (!chain.doubtful()) {
                        entry.attempts.get(more.readShort()).mayHaveRun = false;
                    }
                }
                case ENDED -> entry.end = new End(more.readBoolean(), more.readLong());
                default -> throw new IOException("unknown sort " + sort);
            }
        }
        if (chain.doubtful()) {
            // Its record of a send may be what is missing: the send can have been as early as it was taken.
            entry.attempts.add(new Attempt(taken, NO_ZONE));
        }
        return entry;
    }

    /** A body that stays in the store, and is in memory while it is used. */
    private final class Kept implements Body {
        private final Chain chain;
        private final int at;
        private final int length;

        Kept(Chain chain, int at, int length) {
            this.chain = chain;
            this.at = at;
            this.length = length;
        }

        @Override
        public byte[] bytes() throws IOException {
            if (chain.size() == 0) {
                throw new IOException("the message is over");
            }
            byte[] value = store.read(chain, 0);
            return Arrays.copyOfRange(value, at, at + length);
        }

        @Override
        public int length() {
            return length;
        }
    }

    /** The messages that something is owed for, in the order in which they were taken on. */
    public Collection<Entry> owed() {
        return List.copyOf(entries.values());
    }

    // ---- Notes ----------------------------------------------------------------------------------
    /**
     * Writes a message down; null if there is no room for it until its end. It counts after the commit, if
     * the entry is then {@link Entry#held}. {@code now}: Unix time, ms.
     */
    public Entry take(Message message, long now) throws IOException {
        Entry entry = new Entry(last + 1, message);
        byte[] head = head(message, now);
        byte[] body = message.body().bytes();
        byte[] value = Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, value, head.length, body.length);
        long rest = reserveFor(entry);
        if (!store.fits(Store.cost(value.length) + rest)) {
            return null;
        }
        makeRoomInBatch(value.length);
        last++;
        entry.chain = store.put(SPACE, entry.number, value);
        entry.taken = now;
        store.reserve(entry.chain, rest);
        entry.message = message.withBody(new Kept(entry.chain, head.length, body.length));
        entries.put(entry.number, entry);
        taking.add(entry);
        return entry;
    }

    /** To be committed before the first byte of a send goes out: from then on it may have run. */
    public Attempt sent(Entry entry, long time, int zone) throws IOException {
        Attempt attempt = new Attempt(time, zone);
        byte[] value = value(SENT_BYTES, out -> {
            out.writeByte(SENT);
            out.writeLong(time);
            out.writeInt(zone);
        });
        makeRoomInBatch(value.length);
        entry.attempts.add(attempt);
        note(entry, value, entry.attempts.size() - 1);
        return attempt;
    }

    /**
     * What is owed may have been done since it was noted, for the folder is not the newest that there was:
     * each message counts as perhaps sent, as early as it was taken on, and nothing is known of its host.
     * Lasts when this returns. Returns how many.
     */
    public int doubt() throws IOException {
        int doubted = 0;
        for (Entry entry : owed()) {
            if (entry.end == null) {
                for (Attempt attempt : entry.attempts) {
                    attempt.mayHaveRun = true;
                }
                sent(entry, entry.taken, NO_ZONE);
                doubted++;
            }
        }
        commit();
        return doubted;
    }

    /** An outcome has proved that the attempt never ran. */
    public void notRun(Entry entry, int attempt) throws IOException {
        entry.attempts.get(attempt).mayHaveRun = false;
        makeRoomInBatch(NOT_RUN_BYTES);
        note(entry, notRun(attempt), -1);
    }

    private static byte[] notRun(int attempt) throws IOException {
        return value(NOT_RUN_BYTES, out -> {
            out.writeByte(NOT_RUN);
            out.writeShort(attempt);
        });
    }

    /** An end was decided: a notice is owed. */
    public void ended(Entry entry, End end) throws IOException {
        entry.end = end;
        makeRoomInBatch(ENDED_BYTES);
        note(
                entry,
                value(ENDED_BYTES, out -> {
                    out.writeByte(ENDED);
                    out.writeBoolean(end.handedBack());
                    out.writeLong(end.retryAfter());
                }),
                -1);
    }

    /** Nothing more is owed: delivered, withdrawn, or its notice acknowledged. */
    public void closed(Entry entry) throws IOException {
        if (entries.remove(entry.number, entry)) {
            makeRoomInBatch(0);
            store.delete(entry.chain);
            closing.add(entry.chain);
        }
    }

    private void note(Entry entry, byte[] value, int send) {
        store.release(entry.chain, Store.cost(value.length));
        store.append(entry.chain, value);
        noting.add(new Note(entry, value, send));
    }

    private static byte[] value(int bytes, Fields fields) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream(bytes);
        fields.write(new DataOutputStream(out));
        return out.toByteArray();
    }

    private interface Fields {
        void write(DataOutputStream out) throws IOException;
    }

    private void makeRoomInBatch(int bytes) throws IOException {
        if (store.dirty() && store.stagedBytes() + bytes > BATCH_MOST) {
            commit();
        }
    }

    /** True when there is something to commit. */
    public boolean dirty() {
        return store.dirty();
    }

    /**
     * Makes all that was noted last, as one batch. After an exception, messages of it are not
     * {@link Entry#held}, and its sends must not go out: they count as never run.
     */
    public void commit() throws IOException {
        List<Entry> messages = List.copyOf(taking);
        List<Note> notes = List.copyOf(noting);
        List<Chain> ends = List.copyOf(closing);
        taking.clear();
        noting.clear();
        closing.clear();
        try {
            store.commit();
        } catch (IOException e) {
            for (Entry entry : messages) {
                entry.refused = true;
                entry.uncertain = e instanceof UncertainWrite;
                entries.remove(entry.number);
                store.release(entry.chain, Long.MAX_VALUE);
            }
            // What is told to others all the same, and the numbers of attempts, are owed to the disk: they go
            // with the next batch. A send of this one has not been made.
            for (Note note : notes) {
                if (note.entry().refused || note.entry().chain == null) {
                    continue;
                }
                note(note.entry(), note.value(), -1);
                if (note.send() >= 0) {
                    note.entry().attempts.get(note.send()).mayHaveRun = false;
                    note(note.entry(), notRun(note.send()), -1);
                }
            }
            for (Chain chain : ends) {
                store.delete(chain);
                closing.add(chain);
            }
            throw e;
        }
    }

    /** True when a slice of compaction is due. */
    public boolean wantsCompaction() {
        return store.wantsCompaction();
    }

    /** One slice of compaction, of about so many ns; between turns. */
    public void compact(LongSupplier clock, long budget) throws IOException {
        store.compact(clock, budget);
    }

    /** The store under it, for owners of other name spaces. */
    public Store store() {
        return store;
    }

    private long reserveFor(Entry entry) {
        int left = Math.max(0, mostAttempts - entry.attempts.size());
        return left * (Store.cost(SENT_BYTES) + Store.cost(NOT_RUN_BYTES)) + Store.cost(ENDED_BYTES) + Store.cost(0);
    }

    /** The process has been killed: nothing that is staged is written any more. */
    public void abandon() throws IOException {
        store.close();
    }

    @Override
    public void close() throws IOException {
        try {
            commit();
        } finally {
            store.close();
        }
    }

    // ---- Records --------------------------------------------------------------------------------
    private static byte[] head(Message message, long now) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeByte(TAKEN);
        out.writeLong(now);
        out.writeUTF(message.id());
        out.writeUTF(message.messageClass());
        out.writeInt(message.tenant());
        optional(out, message.routeKey());
        optional(out, message.idempotencyKey());
        out.writeLong(message.destination());
        out.writeLong(message.deadline());
        out.writeBoolean(message.origin() != null);
        if (message.origin() != null) {
            out.writeUTF(message.origin().client());
            out.writeUTF(message.origin().topic());
            out.writeShort(message.origin().correlation().length);
            out.write(message.origin().correlation());
        }
        return bytes.toByteArray();
    }

    private static Origin origin(DataInputStream in) throws IOException {
        return in.readBoolean() ? new Origin(in.readUTF(), in.readUTF(), in.readNBytes(in.readUnsignedShort())) : null;
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

    private static String origin(DataInputStream in, String before) throws IOException {
        Origin origin = origin(in);
        return origin == null ? "" : before + origin.client();
    }

    /** One line about a value of this name space, for people. */
    public static String describe(byte[] value) {
        try {
            DataInputStream in = new DataInputStream(new ByteArrayInputStream(value));
            return switch (in.readByte()) {
                case TAKEN -> {
                    long taken = in.readLong();
                    yield "taken " + taken + " id " + in.readUTF() + " class " + in.readUTF() + " tenant "
                            + in.readInt() + " route-key " + optional(in) + " key " + optional(in)
                            + " destination "
                            + in.readLong() + " deadline " + in.readLong() + origin(in, " for ") + " body "
                            + in.available() + " bytes";
                }
                case SENT -> "sent " + in.readLong() + " zone " + in.readInt();
                case NOT_RUN -> "not run, attempt " + in.readShort();
                case ENDED ->
                    "ended, " + (in.readBoolean() ? "handed back, come back in us " : "given up ") + in.readLong();
                default -> "unknown";
            };
        } catch (IOException e) {
            return "unreadable";
        }
    }

    /** Moves a folder over from the one file of earlier relays. */
    private static final class Moving {
        private Moving() {}

        /**
         * The old file counts until it is deleted: a store that is there with it is half made, by a move
         * that was cut off, and is made again.
         */
        static Store over(Disk disk, Store.Options options) throws IOException {
            Disk.File file = disk.open(LegacyJournalReader.FILE, false);
            Collection<LegacyJournalReader.Owed> owed = LegacyJournalReader.read(file.read(0, (int) file.size()));
            file.close();
            disk.delete(LegacyJournalReader.FRESH);
            Store.discard(disk);
            Store store = Store.open(disk, options);
            Journal journal = new Journal(store, 0);
            for (LegacyJournalReader.Owed o : owed) {
                journal.move(o);
            }
            journal.commit();
            disk.delete(LegacyJournalReader.FILE);
            if (options.promise() == Store.Promise.MACHINE) {
                disk.syncNames();
            }
            LOG.info("moved over from the old journal: {} messages", owed.size());
            return store;
        }
    }

    private void move(LegacyJournalReader.Owed o) throws IOException {
        // When it was taken is not in the old file: its time cannot have begun before this.
        Entry entry = take(o.message(), 0);
        if (entry == null) {
            throw new IOException("no room to move the old journal over: message "
                    + o.message().id());
        }
        for (int i = 0; i < o.attempts().size(); i++) {
            sent(entry, o.attempts().get(i).sent, o.attempts().get(i).zone);
            if (!o.attempts().get(i).mayHaveRun) {
                notRun(entry, i);
            }
        }
        if (o.end()[0] != null) {
            ended(entry, o.end()[0]);
        }
    }
}
