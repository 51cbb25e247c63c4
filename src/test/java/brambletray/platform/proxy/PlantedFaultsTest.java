package brambletray.platform.proxy;

import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Plants each fault that {@link RandomExchangesTest} must detect and checks that the violated rule reports it. */
class PlantedFaultsTest {
    private static final int SCENARIOS = Integer.getInteger("brambletray.planted", 4_000);
    private static final int STEPS = 40;

    private static Arguments fault(String what, String rule, String... edits) {
        return Arguments.of(what, rule, edits);
    }

    static Stream<Arguments> faults() {
        return Stream.of(
                fault(
                        "a connection is reused regardless of its response and of pending data",
                        "OWED",
                        "HostConnection",
                        "onResponseComplete(keepAlive && requestWritten && responseReader.isReusable());",
                        "onResponseComplete(true);"),
                fault(
                        "bytes after a complete response are left for the next one",
                        "OWED",
                        "HostConnection",
                        "    void onSurplus() {\n        keepAlive = false;",
                        "    void onSurplus() {"),
                fault(
                        "a connection that received a surplus response is reused",
                        "OWED",
                        "ResponseReader",
                        "            reusable = false;\n",
                        ""),
                fault(
                        "bytes on an idle connection are ignored",
                        "OWED|MIXED|TWICE",
                        "HostConnection",
                        "            onUnsent();\n        } else {\n            channel.close();",
                        "            onUnsent();\n        } else {"),
                fault(
                        "the id is not checked",
                        "MIXED",
                        "ResponseVerdict",
                        "if (!requestId.contentEquals(ids.next())) {",
                        "if (ids.next().length() == 0) {"),
                fault(
                        "the id of a chunked response is not checked",
                        "MIXED",
                        "ResponseReader",
                        "ResponseVerdict.of(hostCall.requestId(), status",
                        "ResponseVerdict.of(framing.length() >= 0 ? hostCall.requestId() : "
                                + "String.valueOf(head.headers().get(ClientRequest.ID)), status"),
                fault(
                        "a response without an id is accepted",
                        "MIXED",
                        "ResponseVerdict",
                        "        if (withoutId) {\n            return INVALID;",
                        "        if (withoutId && status >= 300) {\n            return INVALID;"),
                fault(
                        "a success without a seal is accepted",
                        "MIXED",
                        "ResponseVerdict",
                        "headers.contains(ClientRequest.SEAL) && !headers.contains(HttpHeaderNames.CONTENT_ENCODING)",
                        "true"),
                fault(
                        "a refusal without an id proves that the next request did not run",
                        "TWICE|REFUSED",
                        "ResponseReader",
                        "if (verdict.withoutId() && reused && hostCall.requiresOpenConnection()) {",
                        "if (false) {"),
                fault(
                        "a request is resent on a connection that may still deliver its first refusal",
                        "TWICE|REFUSED",
                        "HostExchanges",
                        "            if (exchanges.get(i).usedConnection(connection)) {",
                        "            if (false) {"),
                fault(
                        "a response received before any byte was sent is accepted",
                        "MIXED|TWICE|REFUSED|OWED",
                        "HostConnection",
                        "return responseReader != null && responseReader.isSent();",
                        "return true;"),
                fault(
                        "a request is resent after a partial write",
                        "TWICE|REFUSED",
                        "HostConnection",
                        "} else if (!sent && reader == responseReader) {",
                        "} else if (reader == responseReader) {"),
                fault(
                        "a request is resent after a pooled connection is reset without a response",
                        "TWICE|REFUSED",
                        "HostConnection",
                        "        ResponseReader ended = responseReader;\n        cancel();\n        if "
                                + "(ended != null) {",
                        "        ResponseReader ended = responseReader;\n        cancel();\n        if "
                                + "(ended != null && !neverUsed && ended.verdict() == null) {\n            "
                                + "pools.onStale(ended.hostCall());\n        } else if (ended != null) {"),
                fault(
                        "a refused request is sent when its connection is established late",
                        "TWICE|REFUSED",
                        "HostConnectionPools",
                        "            pool.waitingCalls.remove(hostCall);\n",
                        "",
                        "HostConnectionPools",
                        "        if (!hostCall.isStillWanted()) {\n            return;\n        }\n",
                        "",
                        "HostConnectionPools",
                        "                    && connection.pool.waitingCalls.remove(hostCall)\n          "
                                + "          && hostCall.isStillWanted()",
                        "                    && connection.pool.waitingCalls.remove(hostCall)"),
                fault(
                        "a repeatable request is left to finish when its client disconnects",
                        "GONE",
                        "RequestLifecycle",
                        "        if (!plan.idempotent()) {\n            attempts.cancelUnsent",
                        "        if (now > 0) {\n            attempts.cancelUnsent"),
                fault(
                        "a request that waits for a slot is sent after its client disconnected",
                        "GONE",
                        "RequestLifecycle",
                        "        cancelPendingRequest();\n        if (!plan.idempotent()) {",
                        "        if (!plan.idempotent()) {"),
                fault(
                        "the edge doesn't act on a client's disconnect",
                        "GONE",
                        "ClientConnection",
                        "            abandonedDriver.onClientGone();",
                        "            server.counters();"),
                fault(
                        "a request that timed out at a host is reported as not run",
                        "REFUSED",
                        "RequestLifecycle",
                        "        unproven |= attempts.cancelUnsent(now);",
                        "        attempts.cancelUnsent(now);"),
                fault(
                        "a broken response proves that the request did not run",
                        "TWICE|REFUSED",
                        "RequestLifecycle",
                        "unproven |= outcome == AttemptOutcome.FAILED || outcome == AttemptOutcome.BROKEN;",
                        "unproven |= outcome == AttemptOutcome.FAILED;"),
                fault(
                        "a host's refusal without proof is passed on",
                        "REFUSED",
                        "ResponseVerdict",
                        "            return UNPROVEN_REFUSAL;",
                        "            return FAILED;"),
                fault(
                        "a refusal without proof is streamed",
                        "REFUSED",
                        "ResponseReader",
                        "        discarding =\n                withheld || verdict",
                        "        discarding =\n                verdict",
                        "ResponseReader",
                        "streaming = verdict.outcome() == AttemptOutcome.SERVED && hostCall.onStreaming(response);",
                        "streaming = hostCall.onStreaming(response);"),
                fault(
                        "a truncated response is completed as if it were whole",
                        "MIXED",
                        "RequestLifecycle",
                        "            actions.abortClient();",
                        "            actions.finishStreaming();"),
                fault(
                        "an aborted response is terminated with its last chunk",
                        "MIXED",
                        "ClientConnection",
                        "    void abort() {\n",
                        "    void abort() {\n        writer.finishStreaming();\n"),
                fault(
                        "a response delimited by the end of its connection is accepted",
                        "MIXED",
                        "BodyFraming",
                        "return length < 0 && !withoutBody ? INVALID : new BodyFraming(length);",
                        "return new BodyFraming(length);"),
                fault(
                        "chunked combined with another coding is accepted",
                        "MIXED",
                        "BodyFraming",
                        "equalsIgnoreCase(\"chunked\") && !codings.hasNext()",
                        "toLowerCase().endsWith(\"chunked\")"),
                fault(
                        "a duplicate grant is used twice",
                        "TWICE|BUDGET|REFUSED|PLACE|FAULT",
                        "RequestLifecycle",
                        "if (grant.requestId() != pendingRequestId) {",
                        "if (grant.requestId() != pendingRequestId && isSettled) {"),
                fault(
                        "a pipelined request is served immediately",
                        "MIXED|FAULT",
                        "ClientConnection",
                        "} else if (state == State.BUSY || !pipelined.isEmpty()) {",
                        "} else if (!pipelined.isEmpty()) {"),
                fault(
                        "a host's sealed failure is passed on with another status",
                        "MIXED",
                        "ResponseReader",
                        "                status, head.status()",
                        "                status == 504 ? 502 : status, head.status()"),
                fault(
                        "a failure generated by the edge carries a seal",
                        "MIXED",
                        "HeaderWriter",
                        "        if (retryAfterMs >= 0) {",
                        "        writeHeader(out, \"Brambletray-Response-Seal\", \"s\");\n"
                                + "        if (retryAfterMs >= 0) {"),
                fault(
                        "an invalid status is accepted",
                        "MIXED",
                        "ResponseVerdict",
                        "        if (status > MAX_STATUS) {",
                        "        if (status < 0) {"),
                fault(
                        "the hosts of hedges are not counted",
                        "BUDGET",
                        "RequestLifecycle",
                        "        sentInstances++;",
                        "        sentInstances += attempt.hedge ? 0 : 1;"),
                fault(
                        "a hedge exceeds the maximum number of hosts",
                        "BUDGET",
                        "RequestLifecycle",
                        "return !isSettled && plan.idempotent() && sentInstances < plan.maxInstances() "
                                + "&& sentInstances > 0;",
                        "return !isSettled && plan.idempotent() && sentInstances > 0;"),
                fault(
                        "a retry after a failure exceeds the maximum number of hosts",
                        "BUDGET",
                        "RequestLifecycle",
                        "                && sentInstances < plan.maxInstances()\n                && (plan",
                        "                && (plan"),
                fault(
                        "a retry-count of 0 is treated as unlimited",
                        "BUDGET",
                        "RequestRouter",
                        "Math.max(1, route.retryCount())",
                        "route.retryCount() == 0 ? 9 : route.retryCount()"),
                fault(
                        "a client is sent a second response",
                        "MIXED|FAULT",
                        "ClientReply",
                        "        ClientConnection detached = client;\n        client = null;\n",
                        "        ClientConnection detached = client;\n",
                        "RequestLifecycle",
                        "            if (!isSettled) {\n                settleOn(attempt, now);",
                        "            if (true) {\n                settleOn(attempt, now);"));
    }

    @BeforeAll
    static void disableLogging() {
        RandomExchangesTest.disableLogging();
    }

    @AfterAll
    static void restoreLogging() {
        RandomExchangesTest.restoreLogging();
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("faults")
    void isFound(String what, String rules, String[] edits) {
        String found = Mutant.of(edits).hunt(rules, 1, SCENARIOS, STEPS);
        assertNotNull(found, "not found: " + what);
        System.out.println("planted: " + what + " -> "
                + found.replaceAll("[^ -~]", " ").substring(0, Math.min(160, found.length())));
    }
}
