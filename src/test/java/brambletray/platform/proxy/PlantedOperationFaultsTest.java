package brambletray.platform.proxy;

import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Plants faults in the handling of tenants, quotas and claims and checks that a dedicated test detects each one. */
class PlantedOperationFaultsTest {
    private static Arguments fault(String what, Class<?> test, String method, String... edits) {
        return Arguments.of(what, test, method, edits);
    }

    static Stream<Arguments> faults() {
        return Stream.of(
                fault(
                        "an operation whose first answer is lost runs again",
                        KeyedRequestsTest.class,
                        "anOperationWithALostAnswerIsNotRetried",
                        "RequestPreparation",
                        "            listener.onRejected(502, -1);",
                        "            claimOperation();"),
                fault(
                        "the claim of a broken attempt is released",
                        KeyedRequestsTest.class,
                        "theClaimOfASentRequestIsNeverReleased",
                        "RequestPreparation",
                        "CONNECTION_LOST && plan.selfDedupe()",
                        "CONNECTION_LOST"),
                fault(
                        "a broken attempt counts as not run",
                        RequestLifecycleTest.class,
                        "theRulesHoldForRandomEvents",
                        "RunState",
                        "            case BROKEN -> CONNECTION_LOST;",
                        "            case BROKEN -> NOT_RUN;"),
                fault(
                        "the claim of an attempt with an unknown answer is released",
                        RequestLifecycleTest.class,
                        "theRulesHoldForRandomEvents",
                        "RequestPreparation",
                        "            ended.abandon();",
                        "            ended.release();"),
                fault(
                        "the first host's proof counts for all hosts",
                        RequestLifecycleTest.class,
                        "theRulesHoldForRandomEvents",
                        "RunState",
                        "        return compareTo(other) >= 0 ? this : other;",
                        "        return this;"),
                fault(
                        "a claim ends before its request",
                        RequestLifecycleTest.class,
                        "theRulesHoldForRandomEvents",
                        "RequestLifecycle",
                        "return isSettled && pendingRequestId == 0 && attempts.activeCount() == 0;",
                        "return isSettled && pendingRequestId == 0;"),
                fault(
                        "a slot is requested before the claim is granted",
                        RequestLifecycleTest.class,
                        "theRulesHoldForRandomEvents",
                        "RequestLifecycle",
                        "            actions.prepare();\n        } else {",
                        "            actions.prepare();\n        }\n        if (true) {"),
                fault(
                        "a repeat with a recorded answer also runs",
                        RequestLifecycleTest.class,
                        "theRulesHoldForRandomEvents",
                        "RequestLifecycle",
                        "            isSettled = true;\n            actions.passRecordedAnswer();",
                        "            actions.passRecordedAnswer();\n            requestSlot(false, 0);"),
                fault(
                        "an attempt without a quota permit is refused although another one may have run",
                        RequestLifecycleTest.class,
                        "theRulesHoldForRandomEvents",
                        "RequestLifecycle",
                        "        if (unproven || failedAttempt != null) {",
                        "        if (failedAttempt != null) {"),
                fault(
                        "preparation continues after the request was cancelled",
                        RequestLifecycleTest.class,
                        "theRulesHoldForRandomEvents",
                        "RequestPreparation",
                        "operationGate.cancel(claimStep)",
                        "Progress.NOT_CLAIMED"),
                fault(
                        "a claim is used after it expired",
                        KeyedRequestsTest.class,
                        "aClaimIsNotUsedAfterItExpires",
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
                        "a client's own tenant name is kept beside the edge's",
                        TenantRequestsTest.class,
                        "aForgedTenantNameIsReplaced",
                        "TenantAuthentication",
                        "        headers.remove(ClientRequest.TENANT);\n",
                        "",
                        "TenantAuthentication",
                        "        headers.set(ClientRequest.TENANT, HeaderText.encode(tenant.name()));",
                        "        headers.add(ClientRequest.TENANT, HeaderText.encode(tenant.name()));"),
                fault(
                        "a tenant's key reaches the instance",
                        TenantRequestsTest.class,
                        "theInstanceGetsTheTenantNameButNotTheKey",
                        "TenantAuthentication",
                        "        headers.remove(ClientRequest.CREDENTIAL);\n",
                        ""));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("faults")
    void isFound(String what, Class<?> test, String method, String[] edits) {
        Mutant.assertFound(what, test, method, edits);
    }
}
