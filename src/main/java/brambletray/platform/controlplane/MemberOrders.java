package brambletray.platform.controlplane;

import brambletray.platform.replication.MemberRemovalOutcome;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * Operators' orders about members of the core: {@code POST /brambletray/system/dead/ADDRESS} declares that the machine
 * at this control-plane address is gone
 * for good, with its disk. The body confirms it: the member's life in hex, as {@code views} shows it. The member that
 * is asked decides and answers
 * for itself. For the loop only.
 */
final class MemberOrders {
    private static final int HEX = 16;

    /** Declares a member dead; the outcome comes on the loop. */
    interface Declare {
        void dead(String address, long life, Consumer<MemberRemovalOutcome> then);
    }

    private final Declare declare;

    MemberOrders(Declare declare) {
        this.declare = declare;
    }

    void register(Dispatch<ControlPlaneServer.Desk> table) {
        table.on("POST", OperatorViews.AT + "dead/*", this::dead);
    }

    private void dead(ControlCall call, String address) {
        long life;
        try {
            life = Long.parseUnsignedLong(new String(call.body(), StandardCharsets.UTF_8).strip(), HEX);
        } catch (NumberFormatException e) {
            call.refuse(
                    400,
                    "controlplane.unconfirmed",
                    "expected as body the life of the member in hex, as views shows it");
            return;
        }
        declare.dead(address, life, result -> answer(call, address, life, result));
    }

    private static void answer(ControlCall call, String address, long life, MemberRemovalOutcome result) {
        switch (result) {
            case REMOVED ->
                call.give(
                        200,
                        new JsonObjectWriter()
                                .text("address", address)
                                .text("life", Long.toHexString(life))
                                .flag("declared-dead", true)
                                .bytes());
            case UNKNOWN_MEMBER ->
                call.refuse(
                        404,
                        "controlplane.no-member",
                        "no other member of the view here has this address and this life");
            case VIEW_IS_HEALTHY ->
                call.refuse(409, "controlplane.not-needed", "the view is at work here, nothing waits for that machine");
            case RECENTLY_HEARD ->
                call.refuse(
                        409,
                        "controlplane.heard",
                        "the machine answers, or was heard lately, or this process hasn't listened for 10 s");
            case MAJORITY_WOULD_BE_LOST ->
                call.refuse(
                        409,
                        "controlplane.too-many",
                        "with it a majority of a view would be dead, and acknowledged changes with it");
            case ANOTHER_PENDING -> call.refuse(503, "controlplane.busy", "another order is being looked into");
            default -> throw new IllegalStateException("no answer for " + result);
        }
    }
}
