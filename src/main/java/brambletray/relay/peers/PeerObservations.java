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
 * How far each peer had come when it was last heard of: at most one record for each name that the file
 * has, kept in the store (name space {@link #SPACE}), so that a fleet that comes back all at once remembers.
 * A new incarnation is recorded at once, progress once in {@link #MIN_RECORD_INTERVAL_MS} ms. One thread.
 */
final class PeerObservations {
    static final byte SPACE = 9;
    /** ms between two records of one peer's progress. */
    static final long MIN_RECORD_INTERVAL_MS = 1_000;

    private static final Logger LOG = LoggerFactory.getLogger(PeerObservations.class);

    private static final class Observation {
        final long key;
        StoreFreshness newest;
        /** Of the incarnation that {@code newest} tells of; -1: known from the store only. */
        long heartbeats = -1;
        /** ms; when it was heard, or when this relay began. */
        long heardAtMs;

        long recordedAtMs;
        StoreFreshness recorded;

        Observation(long key, long now) {
            this.key = key;
            heardAtMs = now;
        }
    }

    private final List<String> names;
    private final Map<String, Observation> observations = new HashMap<>();
    private final long startedAtMs;
    private Store store;
    private Runnable onStaged;

    /** Reads what is known. {@code now}: ms of the clock that all calls use. */
    PeerObservations(Store store, List<String> names, long now) {
        this.names = List.copyOf(names);
        this.startedAtMs = now;
        for (Chain chain : store.chains(SPACE)) {
            try {
                DataInputStream in = new DataInputStream(new ByteArrayInputStream(store.read(chain, 0)));
                String name = in.readUTF();
                Observation observation = new Observation(key(name), now);
                observation.newest = new StoreFreshness(in.readLong(), in.readLong(), in.readLong());
                observation.recorded = observation.newest;
                if (names.contains(name)) {
                    observations.put(name, observation);
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

    /** From now on what is heard is recorded; {@code staged}: called when there is something to commit. */
    void recordTo(Store recordStore, Runnable listener) {
        store = recordStore;
        onStaged = listener;
    }

    void onHeartbeat(String name, StoreFreshness freshness, long beats, long now) {
        if (!names.contains(name) || !freshness.isValid()) {
            return;
        }
        Observation observation = observations.computeIfAbsent(name, n -> new Observation(key(n), now));
        boolean sameLife = observation.newest != null
                && observation.newest.storeNumber() == freshness.storeNumber()
                && observation.newest.incarnation() == freshness.incarnation();
        // Guards against messages that come late, or twice: an old one neither takes it back nor makes it recent.
        if (observation.newest != null
                && (sameLife ? beats <= observation.heartbeats : !observation.newest.isBehind(freshness))) {
            return;
        }
        observation.newest =
                sameLife && observation.newest.batch() > freshness.batch() ? observation.newest : freshness;
        observation.heartbeats = beats;
        observation.heardAtMs = now;
        if (store != null
                && !observation.newest.equals(observation.recorded)
                && (!sameLife || now - observation.recordedAtMs >= MIN_RECORD_INTERVAL_MS)) {
            record(name, observation, now);
        }
    }

    private void record(String name, Observation observation, long now) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeUTF(name);
            out.writeLong(observation.newest.storeNumber());
            out.writeLong(observation.newest.incarnation());
            out.writeLong(observation.newest.batch());
        } catch (IOException e) {
            throw new IllegalStateException("memory cannot fail to be written", e);
        }
        observation.recordedAtMs = now;
        if (!store.fits(Store.cost(bytes.size()))) {
            LOG.warn("what was heard of relay {} is not kept: the store is full; raise disk_mb", name);
            return;
        }
        observation.recorded = observation.newest;
        store.put(SPACE, observation.key, bytes.toByteArray());
        onStaged.run();
    }

    WitnessReport reportOn(String name, long now) {
        Observation observation = observations.get(name);
        return observation == null
                ? new WitnessReport.NotSeen(now - startedAtMs)
                : new WitnessReport.Seen(observation.newest, now - observation.heardAtMs, observation.heartbeats);
    }
}
