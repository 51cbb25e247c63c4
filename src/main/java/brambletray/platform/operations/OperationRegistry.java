package brambletray.platform.operations;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
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
    private static final byte SNAPSHOT_FORMAT = 2;
    /** Of earlier versions, whose claims had a name by tenant only. */
    private static final byte SNAPSHOT_FORMAT_WITHOUT_CREDENTIALS = 1;

    private static final int RELEASE_BYTES = 24;

    /** A claim that is active; {@code edge}: the name of the edge that made it. */
    public record ActiveClaim(ClaimId id, OperationNames names, String edge, long expiresAtMs) {}

    /**
     * The result of a command.
     *
     * @param holder the claim that is active on its operation afterwards; null: none
     */
    public record Outcome(OperationCommand command, ActiveClaim holder) {}

    private ActiveClaims claims = new ActiveClaims();

    /**
     * Released claims, and until when each release is remembered: an older proposal may commit a copy of a claim after
     * its release, and this copy must not become active.
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
     * The claim that is active under this name at {@code nowMs} of the monotonic clock; null: none, or one that may
     * have expired, which only the next batch decides.
     */
    public ActiveClaim holder(OperationKey name, long nowMs) {
        return claims.find(name, clock.estimateMs(nowMs));
    }

    /** The claim that is active under one of these names, as by {@link #holder(OperationKey, long)}. */
    public ActiveClaim holder(OperationNames names, long nowMs) {
        return claims.find(names, clock.estimateMs(nowMs));
    }

    /** The oldest claim that is remembered; null: none. */
    public ActiveClaim oldest() {
        return claims.oldest();
    }

    /** Number of active claims. */
    public int activeClaims() {
        return claims.size();
    }

    /** Number of claims and releases that are remembered. */
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
            outcomes.add(new Outcome(command, apply(command, expiresAtMs)));
        }
        return outcomes;
    }

    /** Returns the claim that is active on the command's operation afterwards; null: none. */
    private ActiveClaim apply(OperationCommand command, long expiresAtMs) {
        if (command instanceof OperationCommand.Claim claim) {
            applyClaim(claim, expiresAtMs);
            return claims.find(claim.names(), clock.timeMs());
        }
        applyRelease(command, expiresAtMs);
        return claims.find(command.key(), clock.timeMs());
    }

    private void applyClaim(OperationCommand.Claim claim, long expiresAtMs) {
        if (!released.containsKey(claim.claim())) {
            claims.addUnlessHeld(
                    new ActiveClaim(claim.claim(), claim.names(), claim.edge(), expiresAtMs), clock.timeMs());
        }
    }

    private void applyRelease(OperationCommand release, long expiresAtMs) {
        claims.remove(release.claim());
        released.putIfAbsent(release.claim(), expiresAtMs);
    }

    private void removeExpired() {
        claims.removeExpired(clock.timeMs());
        Iterator<Long> oldestRelease = released.values().iterator();
        while (oldestRelease.hasNext() && clock.timeMs() >= oldestRelease.next()) {
            oldestRelease.remove();
        }
    }

    /** Encodes the state: format, clock, processes of edges, claims, releases. */
    public byte[] snapshot() {
        ByteArrayOutputStream bytes =
                new ByteArrayOutputStream(64 + claims.encodedBytes() + RELEASE_BYTES * released.size());
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeByte(SNAPSHOT_FORMAT);
            clock.write(out);
            claims.write(out);
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
        claims = other.claims;
        released.clear();
        released.putAll(other.released);
    }

    private void read(byte[] snapshot, long nowMs) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(snapshot))) {
            byte format = in.readByte();
            if (format != SNAPSHOT_FORMAT && format != SNAPSHOT_FORMAT_WITHOUT_CREDENTIALS) {
                throw new OperationsException(
                        "operations.bad-snapshot",
                        "unsupported snapshot format " + format + ", expected " + SNAPSHOT_FORMAT,
                        null);
            }
            clock = LogClock.read(in, processId, nowMs);
            claims = format == SNAPSHOT_FORMAT ? ActiveClaims.read(in) : ActiveClaims.readWithoutCredentials(in);
            for (int i = in.readInt(); i > 0; i--) {
                released.put(OperationCodec.readClaimId(in), in.readLong());
            }
        } catch (IOException | IndexOutOfBoundsException e) {
            throw new OperationsException(
                    "operations.bad-snapshot", "snapshot is truncated or malformed: " + e.getMessage(), e);
        }
    }
}
