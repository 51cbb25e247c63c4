package brambletray.platform.proxy;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Faults of tenants, quotas and claims in a request's course, each planted, and found by the test made for it. */
class PlantedOperationFaultsTest {
    private static Arguments fault(String what, Class<?> test, String method, String... edits) {
        return Arguments.of(what, test, method, edits);
    }

    static Stream<Arguments> faults() {
        return Stream.of(
                fault(
                        "an operation whose first attempt is lost runs again",
                        KeyedRequestsTest.class,
                        "whatIsLostIsNotAskedForAgain",
                        "RequestPreparation",
                        "            listener.onRejected(502, -1);",
                        "            claimOperation();"),
                fault(
                        "what broke off is released",
                        KeyedRequestsTest.class,
                        "whatWasSentIsNeverReleased",
                        "RequestPreparation",
                        "BROKEN_OFF && plan.selfDedupe()",
                        "BROKEN_OFF"),
                fault(
                        "what broke off has not run",
                        RequestLifecycleTest.class,
                        "theRulesHoldWhateverHappens",
                        "RunState",
                        "            case BROKEN -> BROKEN_OFF;",
                        "            case BROKEN -> NOT_RUN;"),
                fault(
                        "what may have run is released where its answer is not known",
                        RequestLifecycleTest.class,
                        "theRulesHoldWhateverHappens",
                        "RequestPreparation",
                        "            ended.abandon();",
                        "            ended.release();"),
                fault(
                        "the first host's proof counts for all of them",
                        RequestLifecycleTest.class,
                        "theRulesHoldWhateverHappens",
                        "RunState",
                        "        return compareTo(other) >= 0 ? this : other;",
                        "        return this;"),
                fault(
                        "a claim ends before its request",
                        RequestLifecycleTest.class,
                        "theRulesHoldWhateverHappens",
                        "RequestLifecycle",
                        "return isSettled && pendingRequestId == 0 && attempts.activeCount() == 0;",
                        "return isSettled && pendingRequestId == 0;"),
                fault(
                        "a slot is asked for beside the claim",
                        RequestLifecycleTest.class,
                        "theRulesHoldWhateverHappens",
                        "RequestLifecycle",
                        "            actions.prepare();\n        } else {",
                        "            actions.prepare();\n        }\n        if (true) {"),
                fault(
                        "a repeat that was answered runs too",
                        RequestLifecycleTest.class,
                        "theRulesHoldWhateverHappens",
                        "RequestLifecycle",
                        "            isSettled = true;\n            actions.passRecordedAnswer();",
                        "            actions.passRecordedAnswer();\n            requestSlot(false, 0);"),
                fault(
                        "an attempt without a right is refused though another one may have run",
                        RequestLifecycleTest.class,
                        "theRulesHoldWhateverHappens",
                        "RequestLifecycle",
                        "        if (unproven || withheldAttempt != null) {",
                        "        if (withheldAttempt != null) {"),
                fault(
                        "a request that left its preparation is prepared on",
                        RequestLifecycleTest.class,
                        "theRulesHoldWhateverHappens",
                        "RequestPreparation",
                        "operationGate.cancel(claimStep)",
                        "Progress.NOT_CLAIMED"),
                fault(
                        "a claim is used after its window",
                        KeyedRequestsTest.class,
                        "aClaimIsNotUsedAfterItsWindow",
                        "RequestPreparation",
                        "return claim == null || claim.isUsable();",
                        "return true;"),
                fault(
                        "a client's own tenant name on a public route reaches the instance",
                        TenantRequestsTest.class,
                        "aForgedTenantNameOnAPublicRouteIsRemoved",
                        "TenantAuthentication",
                        "        headers.remove(ClientRequest.TENANT);\n",
                        ""),
                fault(
                        "a client's own tenant name stands beside ours",
                        TenantRequestsTest.class,
                        "aForgedTenantNameIsReplaced",
                        "TenantAuthentication",
                        "        headers.remove(ClientRequest.TENANT);\n",
                        "",
                        "TenantAuthentication",
                        "        headers.set(ClientRequest.TENANT, tenant.name());",
                        "        headers.add(ClientRequest.TENANT, tenant.name());"),
                fault(
                        "a tenant's key reaches the instance",
                        TenantRequestsTest.class,
                        "theInstanceHearsTheTenantAndNotItsKey",
                        "TenantAuthentication",
                        "        headers.remove(ClientRequest.CREDENTIAL);\n",
                        ""));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("faults")
    void isFound(String what, Class<?> test, String method, String[] edits) {
        assertNull(Mutant.of().failureOf(test, method), "it holds without the fault");
        String found = Mutant.of(edits).failureOf(test, method);
        assertNotNull(found, "not found: " + what);
        System.out.println("planted: " + what + " -> " + found.substring(0, Math.min(160, found.length())));
    }
}
