package brambletray.relay.peers;

import brambletray.relay.recovery.StoreFreshness;
import brambletray.relay.recovery.WitnessReport;
import brambletray.relay.store.Chain;
import brambletray.relay.store.Store;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * How far each sibling had come when it was last heard of: at most one record for each name that the file
 * has, kept in the store (name space {@link #SPACE}), so that a fleet that comes back all at once remembers.
 * A new life is noted at once, progress once in {@link #NOTE_EVERY} ms. One thread.
 */
final class PeerObservations {
    static final byte SPACE = 9;
    /** ms between two records of one sibling's progress. */
    static final long NOTE_EVERY = 1_000;

    private static final Logger LOG = LoggerFactory.getLogger(PeerObservations.class);

    private static final class Sighting {
        final long key;
        StoreFreshness last;
        /** Of the life that {@code last} tells of; -1: known from the store only. */
        long beats = -1;
        /** ms; when it was heard, or when this relay began. */
        long at;

        long notedAt;
        StoreFreshness noted;

        Sighting(long key, long now) {
            this.key = key;
            at = now;
        }
    }

    private final List<String> names;
    private final Map<String, Sighting> all = new HashMap<>();
    private final long began;
    private Store store;
    private Runnable staged;

    /** Reads what is known. {@code now}: ms of the clock that all calls use. */
    PeerObservations(Store store, List<String> names, long now) {
        this.names = List.copyOf(names);
        this.began = now;
        for (Chain chain : store.chains(SPACE)) {
            try {
                DataInputStream in = new DataInputStream(new ByteArrayInputStream(store.read(chain, 0)));
                String name = in.readUTF();
                Sighting s = new Sighting(key(name), now);
                s.last = new StoreFreshness(in.readLong(), in.readLong(), in.readLong());
                s.noted = s.last;
                if (names.contains(name)) {
                    all.put(name, s);
                }
            } catch (IOException e) {
                LOG.error("a sibling's record in the store can't be read and is left out: {}", e.toString());
            }
        }
    }

    /** By the name alone, so that a file with its names in another order finds the same. */
    private static long key(String name) {
        return UUID.nameUUIDFromBytes(name.getBytes(StandardCharsets.UTF_8)).getMostSignificantBits();
    }

    /** From now on what is heard is noted; {@code staged}: told that there is something to commit. */
    void keep(Store in, Runnable whenStaged) {
        store = in;
        staged = whenStaged;
    }

    void heard(String name, StoreFreshness standing, long beats, long now) {
        if (!names.contains(name) || !standing.sensible()) {
            return;
        }
        Sighting s = all.computeIfAbsent(name, n -> new Sighting(key(n), now));
        boolean sameLife = s.last != null && s.last.store() == standing.store() && s.last.life() == standing.life();
        // Guards against notes that come late, or twice: an old one neither takes it back nor makes it young.
        if (s.last != null && (sameLife ? beats <= s.beats : !s.last.behind(standing))) {
            return;
        }
        s.last = sameLife && s.last.at() > standing.at() ? s.last : standing;
        s.beats = beats;
        s.at = now;
        if (store != null && !s.last.equals(s.noted) && (!sameLife || now - s.notedAt >= NOTE_EVERY)) {
            note(name, s, now);
        }
    }

    private void note(String name, Sighting s, long now) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeUTF(name);
            out.writeLong(s.last.store());
            out.writeLong(s.last.life());
            out.writeLong(s.last.at());
        } catch (IOException e) {
            throw new IllegalStateException("memory cannot fail to be written", e);
        }
        s.notedAt = now;
        if (!store.fits(Store.cost(bytes.size()))) {
            LOG.warn("what was heard of relay {} is not kept: the store is full; raise disk_mb", name);
            return;
        }
        s.noted = s.last;
        store.put(SPACE, s.key, bytes.toByteArray());
        staged.run();
    }

    WitnessReport of(String name, long now) {
        Sighting s = all.get(name);
        return s == null ? new WitnessReport.Never(now - began) : new WitnessReport.Seen(s.last, now - s.at, s.beats);
    }
}
