package brambletray.platform.controlplane;

import brambletray.platform.operations.OperationKey;
import brambletray.platform.operations.OperationRegistry;
import brambletray.platform.operations.OperationRegistry.ActiveClaim;
import java.util.function.LongSupplier;

/**
 * Claims on operations for operators, below {@code /brambletray/system/operations}: what each member itself has
 * applied, which is committed but may be old at one that is cut off. For the event loop only.
 */
final class OperationViews {
    private static final String PATH = OperatorViews.PATH_PREFIX + "operations";

    private final String node;
    private final OperationRegistry registry;
    private final OperationClaims claims;
    private final LongSupplier clock;

    /** {@code node}: name of this member; {@code clock}: steady ms. */
    OperationViews(String node, OperationRegistry registry, OperationClaims claims, LongSupplier clock) {
        this.node = node;
        this.registry = registry;
        this.claims = claims;
        this.clock = clock;
    }

    void register(CallRouter<ControlPlaneServer.CallHandler> table) {
        table.route("GET", PATH, (call, wildcard) -> call.respond(200, summary()))
                .route("GET", PATH + "/*", this::onLookup);
    }

    private byte[] summary() {
        ActiveClaim oldest = registry.oldest();
        return new JsonObjectWriter()
                .text("node", node)
                .number("claims", registry.activeClaims())
                .number("remembered", registry.size())
                .number("waiting", claims.waitingCommands())
                .number("batches", claims.batchesInFlight())
                .number("oldest-remaining-ms", oldest == null ? 0 : remainingMs(oldest))
                .bytes();
    }

    private void onLookup(ControlCall call, String key) {
        OperationKey operation = OperationKey.parse(key);
        if (operation == null) {
            call.reject(400, "controlplane.bad-operation", "expected 32 hexadecimal digits, found " + key);
        } else {
            call.respond(200, lookup(registry.holder(operation, clock.getAsLong())));
        }
    }

    private byte[] lookup(ActiveClaim claim) {
        JsonObjectWriter json = new JsonObjectWriter().text("node", node).flag("claimed", claim != null);
        if (claim != null) {
            json.text("edge", claim.edge())
                    .text("life", Long.toHexString(claim.id().incarnation()))
                    .number("sequence", claim.id().sequence())
                    .number("remaining-ms", remainingMs(claim));
        }
        return json.bytes();
    }

    private long remainingMs(ActiveClaim claim) {
        return Math.max(0, claim.expiresAtMs() - registry.logTimeMs(clock.getAsLong()));
    }
}
