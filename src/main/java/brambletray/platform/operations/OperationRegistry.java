package brambletray.platform.operations;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The active claims: the replicated state by which an operation runs at most once. Pure and deterministic: applying
 * the same batches in the same order gives the same state, byte for byte, at all members. Not thread-safe.
 *
 * <p>Time is that of the log ({@link LogClock}). It never runs faster than real time, so a claim stays active for at
 * least its window, whichever clocks are stepped and whichever processes restart.
 */
public final class OperationRegistry {
    private static final byte SNAPSHOT_FORMAT = 1;
    private static final int CLAIM_BYTES = 44;
    private static final int RELEASE_BYTES = 24;

    /** A claim that is active; {@code edge}: the name of the edge that made it. */
    public record ActiveClaim(ClaimId id, String edge, long expiresAtMs) {}

    /**
     * The result of a command.
     *
     * @param holder the claim that is active on its key afterwards; null: none
     */
    public record Outcome(OperationCommand command, ActiveClaim holder) {}

    /** In order of expiry, except where the window was changed in between. */
    private final Map<OperationKey, ActiveClaim> claims = new LinkedHashMap<>();

    /**
     * Released claims, and until when each release is kept: an older proposal may commit a copy of a claim after its
     * release, and this copy must not become active.
     */
    private final Map<ClaimId, Long> released = new LinkedHashMap<>();

    private final long processId;
    private LogClock clock;

    /** {@code processId}: identifies this process, never reused; {@code nowMs}: monotonic clock. */
    public OperationRegistry(long processId, long nowMs) {
        this.processId = processId;
        clock = new LogClock(processId, nowMs);
    }

    /** The stamp of a batch that this process creates now. */
    public BatchStamp stamp(long nowMs) {
        return clock.stamp(nowMs);
    }

    /** Estimates the time of the log at {@code nowMs} of the monotonic clock. */
    public long logTimeMs(long nowMs) {
        return clock.estimateMs(nowMs);
    }

    /**
     * The claim that is active on this key at {@code nowMs} of the monotonic clock; null: none, or one that may have
     * expired, which only the next batch decides.
     */
    public ActiveClaim holder(OperationKey key, long nowMs) {
        ActiveClaim claim = claims.get(key);
        return claim == null || clock.estimateMs(nowMs) >= claim.expiresAtMs() ? null : claim;
    }

    private ActiveClaim holder(OperationKey key) {
        ActiveClaim claim = claims.get(key);
        return claim == null || isExpired(claim.expiresAtMs()) ? null : claim;
    }

    /** The oldest claim that is kept; null: none. */
    public ActiveClaim oldest() {
        Iterator<ActiveClaim> oldest = claims.values().iterator();
        return oldest.hasNext() ? oldest.next() : null;
    }

    /** Number of active claims. */
    public int activeClaims() {
        return claims.size();
    }

    /** Number of claims and releases that are kept. */
    public int size() {
        return claims.size() + released.size();
    }

    /** Applies a committed batch; {@code nowMs}: monotonic clock. */
    public List<Outcome> apply(OperationBatch batch, long nowMs) {
        clock.advance(batch.stamp(), nowMs);
        removeExpired();
        long expiresAtMs = clock.timeMs() + batch.windowMs();
        List<Outcome> outcomes = new ArrayList<>(batch.commands().size());
        for (OperationCommand command : batch.commands()) {
            if (command instanceof OperationCommand.Claim claim) {
                apply(claim, expiresAtMs);
            } else {
                applyRelease(command, expiresAtMs);
            }
            outcomes.add(new Outcome(command, holder(command.key())));
        }
        return outcomes;
    }

    private void apply(OperationCommand.Claim claim, long expiresAtMs) {
        if (holder(claim.key()) == null && !released.containsKey(claim.claim())) {
            // An expired claim of the key is removed first, so that the new claim is the last in insertion order.
            claims.remove(claim.key());
            claims.put(claim.key(), new ActiveClaim(claim.claim(), claim.edge(), expiresAtMs));
        }
    }

    private void applyRelease(OperationCommand release, long expiresAtMs) {
        ActiveClaim holder = claims.get(release.key());
        if (holder != null && holder.id().equals(release.claim())) {
            claims.remove(release.key());
        }
        released.putIfAbsent(release.claim(), expiresAtMs);
    }

    private void removeExpired() {
        Iterator<ActiveClaim> oldestClaim = claims.values().iterator();
        while (oldestClaim.hasNext() && isExpired(oldestClaim.next().expiresAtMs())) {
            oldestClaim.remove();
        }
        Iterator<Long> oldestRelease = released.values().iterator();
        while (oldestRelease.hasNext() && isExpired(oldestRelease.next())) {
            oldestRelease.remove();
        }
    }

    private boolean isExpired(long expiresAtMs) {
        return clock.timeMs() >= expiresAtMs;
    }

    /** Encodes the state: format, clock, names of edges, claims, releases. */
    public byte[] snapshot() {
        ByteArrayOutputStream bytes =
                new ByteArrayOutputStream(64 + CLAIM_BYTES * claims.size() + RELEASE_BYTES * released.size());
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeByte(SNAPSHOT_FORMAT);
            clock.write(out);
            Map<String, Integer> edgeIndexes = new HashMap<>();
            List<String> edgeNames = new ArrayList<>();
            for (ActiveClaim claim : claims.values()) {
                if (edgeIndexes.putIfAbsent(claim.edge(), edgeNames.size()) == null) {
                    edgeNames.add(claim.edge());
                }
            }
            out.writeInt(edgeNames.size());
            for (String name : edgeNames) {
                out.writeUTF(name);
            }
            out.writeInt(claims.size());
            for (Map.Entry<OperationKey, ActiveClaim> entry : claims.entrySet()) {
                OperationCodec.write(entry.getKey(), out);
                OperationCodec.write(entry.getValue().id(), out);
                out.writeLong(entry.getValue().expiresAtMs());
                out.writeInt(edgeIndexes.get(entry.getValue().edge()));
            }
            out.writeInt(released.size());
            for (Map.Entry<ClaimId, Long> entry : released.entrySet()) {
                OperationCodec.write(entry.getKey(), out);
                out.writeLong(entry.getValue());
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /**
     * Replaces the state by a snapshot; an empty one is the state before the first batch. Throws {@link
     * OperationsException} and changes nothing if the snapshot cannot be read.
     */
    public void restore(byte[] snapshot, long nowMs) {
        OperationRegistry other = new OperationRegistry(processId, nowMs);
        if (snapshot.length > 0) {
            other.read(snapshot, nowMs);
        }
        clock = other.clock;
        claims.clear();
        claims.putAll(other.claims);
        released.clear();
        released.putAll(other.released);
    }

    private void read(byte[] snapshot, long nowMs) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(snapshot))) {
            byte format = in.readByte();
            if (format != SNAPSHOT_FORMAT) {
                throw new OperationsException(
                        "operations.bad-snapshot",
                        "unsupported snapshot format " + format + ", expected " + SNAPSHOT_FORMAT,
                        null);
            }
            clock = LogClock.read(in, processId, nowMs);
            List<String> edgeNames = new ArrayList<>();
            for (int i = in.readInt(); i > 0; i--) {
                edgeNames.add(in.readUTF());
            }
            for (int i = in.readInt(); i > 0; i--) {
                OperationKey key = OperationCodec.readKey(in);
                ClaimId claim = OperationCodec.readClaimId(in);
                long expiresAtMs = in.readLong();
                claims.put(key, new ActiveClaim(claim, edgeNames.get(in.readInt()), expiresAtMs));
            }
            for (int i = in.readInt(); i > 0; i--) {
                released.put(OperationCodec.readClaimId(in), in.readLong());
            }
        } catch (IOException | IndexOutOfBoundsException e) {
            throw new OperationsException(
                    "operations.bad-snapshot", "snapshot is truncated or malformed: " + e.getMessage(), e);
        }
    }
}
