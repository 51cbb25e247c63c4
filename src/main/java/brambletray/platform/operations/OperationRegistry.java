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
    private static final byte SNAPSHOT_FORMAT = 2;
    /** Of earlier versions, whose claims had a name by tenant only. */
    private static final byte SNAPSHOT_FORMAT_WITHOUT_CREDENTIALS = 1;

    private static final int CLAIM_BYTES = 53;
    private static final int RELEASE_BYTES = 24;

    /** A claim that is active; {@code edge}: the name of the edge that made it. */
    public record ActiveClaim(ClaimId id, OperationNames names, String edge, long expiresAtMs) {}

    /** A process of an edge. Snapshots name each process once. */
    private record EdgeProcess(String edge, long incarnation) {
        static EdgeProcess of(ActiveClaim claim) {
            return new EdgeProcess(claim.edge(), claim.id().incarnation());
        }
    }

    /**
     * The result of a command.
     *
     * @param holder the claim that is active on its operation afterwards; null: none
     */
    public record Outcome(OperationCommand command, ActiveClaim holder) {}

    /** In order of expiry, except where the window was changed in between. */
    private final Map<ClaimId, ActiveClaim> claims = new LinkedHashMap<>();
    /** The claims by each of their names. */
    private final Map<OperationKey, ActiveClaim> claimsByName = new HashMap<>();

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
     * The claim that is active under this name at {@code nowMs} of the monotonic clock; null: none, or one that may
     * have expired, which only the next batch decides.
     */
    public ActiveClaim holder(OperationKey name, long nowMs) {
        return holderAt(name, clock.estimateMs(nowMs));
    }

    /** The claim that is active under one of these names, as by {@link #holder(OperationKey, long)}. */
    public ActiveClaim holder(OperationNames names, long nowMs) {
        return holderAt(names, clock.estimateMs(nowMs));
    }

    private ActiveClaim holderAt(OperationNames names, long logTimeMs) {
        ActiveClaim claim = holderAt(names.byTenant(), logTimeMs);
        return claim == null && names.byCredential() != null ? holderAt(names.byCredential(), logTimeMs) : claim;
    }

    private ActiveClaim holderAt(OperationKey name, long logTimeMs) {
        ActiveClaim claim = claimsByName.get(name);
        return claim == null || logTimeMs >= claim.expiresAtMs() ? null : claim;
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
            outcomes.add(new Outcome(command, apply(command, expiresAtMs)));
        }
        return outcomes;
    }

    /** Returns the claim that is active on the command's operation afterwards; null: none. */
    private ActiveClaim apply(OperationCommand command, long expiresAtMs) {
        if (command instanceof OperationCommand.Claim claim) {
            applyClaim(claim, expiresAtMs);
            return holderAt(claim.names(), clock.timeMs());
        }
        applyRelease(command, expiresAtMs);
        return holderAt(command.key(), clock.timeMs());
    }

    private void applyClaim(OperationCommand.Claim claim, long expiresAtMs) {
        if (!mayBecomeActive(claim)) {
            return;
        }
        // Expired claims in its place are removed first, so that the new claim is the last in insertion order.
        OperationNames names = claim.names();
        remove(claimsByName.get(names.byTenant()));
        remove(claimsByName.get(names.byCredential()));
        remove(claims.get(claim.claim()));
        add(new ActiveClaim(claim.claim(), names, claim.edge(), expiresAtMs));
    }

    private boolean mayBecomeActive(OperationCommand.Claim claim) {
        ActiveClaim sameId = claims.get(claim.claim());
        boolean isIdFree = sameId == null || isExpired(sameId.expiresAtMs());
        return isIdFree && !released.containsKey(claim.claim()) && holderAt(claim.names(), clock.timeMs()) == null;
    }

    private void applyRelease(OperationCommand release, long expiresAtMs) {
        remove(claims.get(release.claim()));
        released.putIfAbsent(release.claim(), expiresAtMs);
    }

    private void add(ActiveClaim claim) {
        claims.put(claim.id(), claim);
        claimsByName.put(claim.names().byTenant(), claim);
        if (claim.names().byCredential() != null) {
            claimsByName.put(claim.names().byCredential(), claim);
        }
    }

    /** {@code claim}: null for none. */
    private void remove(ActiveClaim claim) {
        if (claim != null) {
            claims.remove(claim.id());
            removeNames(claim);
        }
    }

    private void removeNames(ActiveClaim claim) {
        claimsByName.remove(claim.names().byTenant(), claim);
        claimsByName.remove(claim.names().byCredential(), claim);
    }

    private void removeExpired() {
        Iterator<ActiveClaim> oldestClaims = claims.values().iterator();
        while (oldestClaims.hasNext()) {
            ActiveClaim oldest = oldestClaims.next();
            if (!isExpired(oldest.expiresAtMs())) {
                break;
            }
            oldestClaims.remove();
            removeNames(oldest);
        }
        Iterator<Long> oldestRelease = released.values().iterator();
        while (oldestRelease.hasNext() && isExpired(oldestRelease.next())) {
            oldestRelease.remove();
        }
    }

    private boolean isExpired(long expiresAtMs) {
        return clock.timeMs() >= expiresAtMs;
    }

    /** Encodes the state: format, clock, processes of edges, claims, releases. */
    public byte[] snapshot() {
        ByteArrayOutputStream bytes =
                new ByteArrayOutputStream(64 + CLAIM_BYTES * claims.size() + RELEASE_BYTES * released.size());
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeByte(SNAPSHOT_FORMAT);
            clock.write(out);
            writeClaims(out);
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

    private void writeClaims(DataOutputStream out) throws IOException {
        Map<EdgeProcess, Integer> indexes = new LinkedHashMap<>();
        for (ActiveClaim claim : claims.values()) {
            indexes.putIfAbsent(EdgeProcess.of(claim), indexes.size());
        }
        out.writeInt(indexes.size());
        for (EdgeProcess process : indexes.keySet()) {
            out.writeUTF(process.edge());
            out.writeLong(process.incarnation());
        }
        out.writeInt(claims.size());
        for (ActiveClaim claim : claims.values()) {
            OperationCodec.write(claim.names(), out);
            out.writeInt(indexes.get(EdgeProcess.of(claim)));
            out.writeLong(claim.id().sequence());
            out.writeLong(claim.expiresAtMs());
        }
    }

    private void readClaims(DataInputStream in) throws IOException {
        List<EdgeProcess> processes = new ArrayList<>();
        for (int i = in.readInt(); i > 0; i--) {
            processes.add(new EdgeProcess(in.readUTF(), in.readLong()));
        }
        for (int i = in.readInt(); i > 0; i--) {
            OperationNames names = OperationCodec.readNames(in);
            EdgeProcess process = processes.get(in.readInt());
            ClaimId id = new ClaimId(process.incarnation(), in.readLong());
            add(new ActiveClaim(id, names, process.edge(), in.readLong()));
        }
    }

    private void readClaimsWithoutCredentials(DataInputStream in) throws IOException {
        List<String> edgeNames = new ArrayList<>();
        for (int i = in.readInt(); i > 0; i--) {
            edgeNames.add(in.readUTF());
        }
        for (int i = in.readInt(); i > 0; i--) {
            OperationNames names = OperationNames.withoutCredential(OperationCodec.readKey(in));
            ClaimId id = OperationCodec.readClaimId(in);
            long expiresAtMs = in.readLong();
            add(new ActiveClaim(id, names, edgeNames.get(in.readInt()), expiresAtMs));
        }
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
        claimsByName.clear();
        other.claims.values().forEach(this::add);
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
            if (format == SNAPSHOT_FORMAT) {
                readClaims(in);
            } else {
                readClaimsWithoutCredentials(in);
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
