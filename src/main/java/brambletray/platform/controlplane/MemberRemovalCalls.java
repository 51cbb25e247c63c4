package brambletray.platform.controlplane;

import brambletray.platform.replication.MemberRemovalOutcome;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * Operators' calls that remove a member of the core: {@code POST /brambletray/system/dead/ADDRESS} says that the
 * machine at this control-plane address is gone for good, with its disk. The body confirms it: the member's
 * incarnation in hex, as {@code views} shows it. The member that is called decides and answers for itself. For the
 * event loop only.
 */
final class MemberRemovalCalls {
    private static final int HEX_RADIX = 16;

    /** Removes a member; the outcome comes on the event loop. */
    interface RemovalAction {
        void remove(String address, long incarnation, Consumer<MemberRemovalOutcome> onOutcome);
    }

    private final RemovalAction removal;

    MemberRemovalCalls(RemovalAction removal) {
        this.removal = removal;
    }

    void register(CallRouter<ControlPlaneServer.CallHandler> table) {
        table.route("POST", OperatorViews.PATH_PREFIX + "dead/*", this::onRemoveMember);
    }

    private void onRemoveMember(ControlCall call, String address) {
        long incarnation;
        try {
            incarnation = Long.parseUnsignedLong(new String(call.body(), StandardCharsets.UTF_8).strip(), HEX_RADIX);
        } catch (NumberFormatException e) {
            call.reject(
                    400,
                    "controlplane.unconfirmed",
                    "expected as body the life of the member in hex, as views shows it");
            return;
        }
        removal.remove(address, incarnation, outcome -> respond(call, address, incarnation, outcome));
    }

    private static void respond(ControlCall call, String address, long incarnation, MemberRemovalOutcome outcome) {
        switch (outcome) {
            case REMOVED ->
                call.respond(
                        200,
                        new JsonObjectWriter()
                                .text("address", address)
                                .text("life", Long.toHexString(incarnation))
                                .flag("declared-dead", true)
                                .bytes());
            case UNKNOWN_MEMBER ->
                call.reject(
                        404,
                        "controlplane.no-member",
                        "no other member of the view here has this address and this life");
            case VIEW_IS_HEALTHY ->
                call.reject(409, "controlplane.not-needed", "the view is at work here, nothing waits for that machine");
            case RECENTLY_HEARD ->
                call.reject(
                        409,
                        "controlplane.heard",
                        "the machine answers, or was heard lately, or this process hasn't listened for 10 s");
            case MAJORITY_WOULD_BE_LOST ->
                call.reject(
                        409,
                        "controlplane.too-many",
                        "with it a majority of a view would be dead, and acknowledged changes with it");
            case ANOTHER_PENDING -> call.reject(503, "controlplane.busy", "another order is being looked into");
            default -> throw new IllegalStateException("no answer for " + outcome);
        }
    }
}
