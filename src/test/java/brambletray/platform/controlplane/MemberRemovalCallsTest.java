package brambletray.platform.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.platform.replication.MemberRemovalOutcome;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** The call by which a member is declared dead: what it has to name, and each of its answers. */
class MemberRemovalCallsTest {
    private static final String PATH = "/brambletray/system/dead/10.0.0.2:90";

    private final CallRouter<ControlPlaneServer.CallHandler> table = new CallRouter<>();
    private final List<String> ordered = new ArrayList<>();
    private Consumer<MemberRemovalOutcome> then;
    private Integer status;
    private String body;

    MemberRemovalCallsTest() {
        new MemberRemovalCalls((address, life, notified) -> {
                    ordered.add(address + " " + Long.toHexString(life));
                    then = notified;
                })
                .register(table);
    }

    private void post(String confirmation) {
        status = null;
        CallRouter.Match<ControlPlaneServer.CallHandler> found = table.find("POST", PATH);
        byte[] bytes = confirmation.getBytes(StandardCharsets.UTF_8);
        found.handler()
                .handle(
                        new ControlCall("POST", PATH, null, bytes, (given, json, more) -> {
                            status = given;
                            body = new String(json, StandardCharsets.UTF_8);
                        }),
                        found.wildcard());
    }

    @Test
    void anOrderThatNamesNoLifeIsNotGiven() {
        for (String none : List.of("", "yes", "-1", "0x1f", "11112222333344445")) {
            post(none);
            assertEquals(400, status, none);
            assertTrue(body.contains("controlplane.unconfirmed"), body);
        }
        assertEquals(List.of(), ordered);
    }

    @Test
    void anOrderIsAnsweredOnceItIsDecided() {
        post("fedcba9876543210\n");
        assertEquals(List.of("10.0.0.2:90 fedcba9876543210"), ordered);
        assertNull(status);
        then.accept(MemberRemovalOutcome.REMOVED);
        assertEquals(200, status);
        assertEquals("{\"address\":\"10.0.0.2:90\",\"life\":\"fedcba9876543210\",\"declared-dead\":true}", body);
    }

    @Test
    void eachRefusalSaysWhy() {
        Map<MemberRemovalOutcome, String> refusals = Map.of(
                MemberRemovalOutcome.UNKNOWN_MEMBER, "404 controlplane.no-member",
                MemberRemovalOutcome.VIEW_IS_HEALTHY, "409 controlplane.not-needed",
                MemberRemovalOutcome.RECENTLY_HEARD, "409 controlplane.heard",
                MemberRemovalOutcome.MAJORITY_WOULD_BE_LOST, "409 controlplane.too-many",
                MemberRemovalOutcome.ANOTHER_PENDING, "503 controlplane.busy");
        for (MemberRemovalOutcome result : MemberRemovalOutcome.values()) {
            if (result == MemberRemovalOutcome.REMOVED) {
                continue;
            }
            post("a2");
            then.accept(result);
            String[] expected = refusals.get(result).split(" ");
            assertEquals(Integer.parseInt(expected[0]), status, result.name());
            assertTrue(body.contains("\"" + expected[1] + "\""), body);
        }
    }
}
