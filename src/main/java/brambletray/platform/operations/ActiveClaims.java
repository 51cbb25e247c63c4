package brambletray.platform.operations;

import brambletray.platform.operations.OperationRegistry.ActiveClaim;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Claims by their ids and names. No two claims that are active share a name. Times are ms of the log. Not thread-safe.
 */
final class ActiveClaims {
    private static final int CLAIM_BYTES = 53;

    /** A process of an edge. Snapshots name each process once. */
    private record EdgeProcess(String edge, long incarnation) {
        static EdgeProcess of(ActiveClaim claim) {
            return new EdgeProcess(claim.edge(), claim.id().incarnation());
        }
    }

    /** In order of expiry, except where the window was changed in between. */
    private final Map<ClaimId, ActiveClaim> byId = new LinkedHashMap<>();

    private final Map<OperationKey, ActiveClaim> byName = new HashMap<>();

    /** The claim that is active under one of these names at this time of the log; null: none. */
    ActiveClaim find(OperationNames names, long logTimeMs) {
        ActiveClaim claim = find(names.byTenant(), logTimeMs);
        return claim == null && names.byCredential() != null ? find(names.byCredential(), logTimeMs) : claim;
    }

    /** The claim that is active under this name at this time of the log; null: none. */
    ActiveClaim find(OperationKey name, long logTimeMs) {
        ActiveClaim claim = byName.get(name);
        return isActive(claim, logTimeMs) ? claim : null;
    }

    private static boolean isActive(ActiveClaim claim, long logTimeMs) {
        return claim != null && logTimeMs < claim.expiresAtMs();
    }

    /** The oldest claim that is remembered; null: none. */
    ActiveClaim oldest() {
        Iterator<ActiveClaim> oldest = byId.values().iterator();
        return oldest.hasNext() ? oldest.next() : null;
    }

    int size() {
        return byId.size();
    }

    /** Adds a claim unless an active one has its id or one of its names. */
    void addUnlessHeld(ActiveClaim claim, long logTimeMs) {
        OperationNames names = claim.names();
        if (isActive(byId.get(claim.id()), logTimeMs) || find(names, logTimeMs) != null) {
            return;
        }
        // Expired claims in its place are removed first, so that the new claim is the last in insertion order.
        remove(claim.id());
        remove(byName.get(names.byTenant()));
        remove(byName.get(names.byCredential()));
        add(claim);
    }

    private void add(ActiveClaim claim) {
        byId.put(claim.id(), claim);
        byName.put(claim.names().byTenant(), claim);
        if (claim.names().byCredential() != null) {
            byName.put(claim.names().byCredential(), claim);
        }
    }

    /** Removes the claim with this id under all its names, if there is one. */
    void remove(ClaimId id) {
        remove(byId.get(id));
    }

    /** {@code claim}: null for none. */
    private void remove(ActiveClaim claim) {
        if (claim != null) {
            byId.remove(claim.id());
            removeNames(claim);
        }
    }

    private void removeNames(ActiveClaim claim) {
        byName.remove(claim.names().byTenant(), claim);
        byName.remove(claim.names().byCredential(), claim);
    }

    /** Removes expired claims, up to the first one in insertion order that is active. */
    void removeExpired(long logTimeMs) {
        Iterator<ActiveClaim> claims = byId.values().iterator();
        while (claims.hasNext()) {
            ActiveClaim oldest = claims.next();
            if (isActive(oldest, logTimeMs)) {
                return;
            }
            claims.remove();
            removeNames(oldest);
        }
    }

    /** About how many bytes {@link #write} needs. */
    int encodedBytes() {
        return CLAIM_BYTES * byId.size();
    }

    /** Encodes the processes of edges, and the claims in their order. */
    void write(DataOutputStream out) throws IOException {
        Map<EdgeProcess, Integer> indexes = new LinkedHashMap<>();
        for (ActiveClaim claim : byId.values()) {
            indexes.putIfAbsent(EdgeProcess.of(claim), indexes.size());
        }
        out.writeInt(indexes.size());
        for (EdgeProcess process : indexes.keySet()) {
            out.writeUTF(process.edge());
            out.writeLong(process.incarnation());
        }
        out.writeInt(byId.size());
        for (ActiveClaim claim : byId.values()) {
            OperationCodec.write(claim.names(), out);
            out.writeInt(indexes.get(EdgeProcess.of(claim)));
            out.writeLong(claim.id().sequence());
            out.writeLong(claim.expiresAtMs());
        }
    }

    /** Reads what {@link #write} has written. */
    static ActiveClaims read(DataInputStream in) throws IOException {
        ActiveClaims claims = new ActiveClaims();
        List<EdgeProcess> processes = new ArrayList<>();
        for (int i = in.readInt(); i > 0; i--) {
            processes.add(new EdgeProcess(in.readUTF(), in.readLong()));
        }
        for (int i = in.readInt(); i > 0; i--) {
            OperationNames names = OperationCodec.readNames(in);
            EdgeProcess process = processes.get(in.readInt());
            ClaimId id = new ClaimId(process.incarnation(), in.readLong());
            claims.add(new ActiveClaim(id, names, process.edge(), in.readLong()));
        }
        return claims;
    }

    /** Reads what earlier versions wrote: names of edges, and claims with a name by tenant only. */
    static ActiveClaims readWithoutCredentials(DataInputStream in) throws IOException {
        ActiveClaims claims = new ActiveClaims();
        List<String> edgeNames = new ArrayList<>();
        for (int i = in.readInt(); i > 0; i--) {
            edgeNames.add(in.readUTF());
        }
        for (int i = in.readInt(); i > 0; i--) {
            OperationNames names = OperationNames.withoutCredential(OperationCodec.readKey(in));
            ClaimId id = OperationCodec.readClaimId(in);
            long expiresAtMs = in.readLong();
            claims.add(new ActiveClaim(id, names, edgeNames.get(in.readInt()), expiresAtMs));
        }
        return claims;
    }
}
