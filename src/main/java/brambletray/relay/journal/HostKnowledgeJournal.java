package brambletray.relay.journal;

import brambletray.common.time.BootTimestamp;
import brambletray.relay.recovery.HostKnowledge;
import brambletray.relay.recovery.HostStateCache;
import brambletray.relay.store.Chain;
import brambletray.relay.store.Store;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What is known of hosts, as it lasts: name space {@link #SPACE}, one chain a host, whose value is form 1,
 * its name, when it was true (run, ticks, wall; 8 each), the version of the list by which it left, and what
 * is known of it. What is put is staged, and lasts from the store's next commit on. All of it is for care:
 * what can't be read, or finds no room, is left out.
 */
public final class HostKnowledgeJournal {
    /** Name space of the store that is theirs. */
    public static final byte SPACE = 10;

    private static final Logger LOG = LoggerFactory.getLogger(HostKnowledgeJournal.class);
    private static final byte FORM = 1;

    private final Store store;
    private final Map<String, Chain> chains = new HashMap<>();
    private final List<HostStateCache.Entry> found = new ArrayList<>();
    private long last;

    /** Reads those of earlier lives. */
    public HostKnowledgeJournal(Store store) {
        this.store = store;
        for (Chain chain : store.chains(SPACE)) {
            last = Math.max(last, chain.key());
            try {
                DataInputStream in = new DataInputStream(new ByteArrayInputStream(store.read(chain, 0)));
                if (in.readByte() != FORM) {
                    throw new IOException("a note of another form");
                }
                HostStateCache.Entry note = new HostStateCache.Entry(
                        in.readUTF(),
                        new BootTimestamp(in.readLong(), in.readLong(), in.readLong()),
                        in.readLong(),
                        new HostKnowledge(
                                in.readLong(), in.readBoolean(), in.readLong(), in.readDouble(), in.readDouble()));
                chains.put(note.host(), chain);
                found.add(note);
            } catch (IOException | RuntimeException e) {
                // Guards the start: it only costs what is learned again.
                LOG.warn("a note of a host can't be read and is left out: {}", e.toString());
                store.delete(chain);
            }
        }
    }

    /** Those of earlier lives. */
    public List<HostStateCache.Entry> found() {
        return List.copyOf(found);
    }

    /** False where there is no room for it. */
    public boolean put(HostStateCache.Entry note) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeByte(FORM);
            out.writeUTF(note.host());
            out.writeLong(note.recordedAt().bootId());
            out.writeLong(note.recordedAt().steadyMs());
            out.writeLong(note.recordedAt().wallMs());
            out.writeLong(note.leftInVersion());
            out.writeLong(note.knowledge().retryAfterUs());
            out.writeBoolean(note.knowledge().isUnhealthy());
            out.writeLong(note.knowledge().slowStartAgeUs());
            out.writeDouble(note.knowledge().limit());
            out.writeDouble(note.knowledge().pace());
        } catch (IOException e) {
            throw new IllegalStateException("memory cannot fail to be written", e);
        }
        if (!store.fits(Store.cost(bytes.size()))) {
            return false;
        }
        long key = chains.containsKey(note.host()) ? chains.get(note.host()).key() : ++last;
        chains.put(note.host(), store.put(SPACE, key, bytes.toByteArray()));
        return true;
    }

    /** Nothing more is known of a host. */
    public void drop(String host) {
        Chain chain = chains.remove(host);
        if (chain != null) {
            store.delete(chain);
        }
    }

    /** Drops all that a folder has: it is not the newest that there was. */
    public static void discard(Store store) {
        store.chains(SPACE).forEach(store::delete);
    }
}
