package brambletray.platform.proxy;

import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Each fault that {@link RandomExchangesTest} is there to find, planted, and found by the rule that it breaks. */
class PlantedFaultsTest {
    private static final int SCENARIOS = Integer.getInteger("brambletray.planted", 4_000);
    private static final int STEPS = 40;

    private static Arguments fault(String what, String rule, String... edits) {
        return Arguments.of(what, rule, edits);
    }

    static Stream<Arguments> faults() {
        return Stream.of(
                fault(
                        "a line reused whatever its answer said, and whatever is owed on it",
                        "OWED",
                        "HostConnection",
                        "onResponseComplete(keepAlive && requestWritten && responseReader.isReusable());",
                        "onResponseComplete(true);"),
                fault(
                        "bytes behind a whole answer are left for the next",
                        "OWED",
                        "HostConnection",
                        "    void onSurplus() {\n        keepAlive = false;",
                        "    void onSurplus() {"),
                fault(
                        "a line on which a surplus answer came is used again",
                        "OWED",
                        "ResponseReader",
                        "            reusable = false;\n",
                        ""),
                fault(
                        "bytes on an idle line are passed over",
                        "OWED|MIXED|TWICE",
                        "HostConnection",
                        "            onUnsent();\n        } else {\n            channel.close();",
                        "            onUnsent();\n        } else {"),
                fault(
                        "the id is not looked at",
                        "MIXED",
                        "ResponseVerdict",
                        "if (!requestId.contentEquals(ids.next())) {",
                        "if (ids.next().length() == 0) {"),
                fault(
                        "the id is not looked at where the answer comes in chunks",
                        "MIXED",
                        "ResponseReader",
                        "ResponseVerdict.of(hostCall.requestId(), status",
                        "ResponseVerdict.of(framing.length() >= 0 ? hostCall.requestId() : "
                                + "String.valueOf(head.headers().get(ClientRequest.ID)), status"),
                fault(
                        "an answer without an id is one",
                        "MIXED",
                        "ResponseVerdict",
                        "        if (nameless) {\n            return JUNK;",
                        "        if (nameless && status >= 300) {\n            return JUNK;"),
                fault(
                        "a success without a seal",
                        "MIXED",
                        "ResponseVerdict",
                        "headers.contains(ClientRequest.SEAL) && !headers.contains(HttpHeaderNames.CONTENT_ENCODING)",
                        "true"),
                fault(
                        "a refusal without a name proves that the next request did not run",
                        "TWICE|REFUSED",
                        "ResponseReader",
                        "if (verdict.nameless() && reused && hostCall.requiresOpenConnection()) {",
                        "if (false) {"),
                fault(
                        "a request sent again on a line that may still bear its first refusal",
                        "TWICE|REFUSED",
                        "HostExchanges",
                        "            if (exchanges.get(i).usedConnection(connection)) {",
                        "            if (false) {"),
                fault(
                        "an answer that came before a byte was out is the answer",
                        "MIXED|TWICE|REFUSED|OWED",
                        "HostConnection",
                        "return responseReader != null && responseReader.isSent();",
                        "return true;"),
                fault(
                        "sent again after a partial write",
                        "TWICE|REFUSED",
                        "HostConnection",
                        "} else if (!begun && of == responseReader) {",
                        "} else if (of == responseReader) {"),
                fault(
                        "sent again after a reset of a kept line that had answered nothing yet",
                        "TWICE|REFUSED",
                        "HostConnection",
                        "        ResponseReader ended = responseReader;\n        cancel();\n        if "
                                + "(ended != null) {",
                        "        ResponseReader ended = responseReader;\n        cancel();\n        if "
                                + "(ended != null && !neverUsed && ended.verdict() == null) {\n            "
                                + "pools.onStale(ended.hostCall());\n        } else if (ended != null) {"),
                fault(
                        "a refused request is written when its connection comes up late",
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
                        "out of time at a host: told that it did not run",
                        "REFUSED",
                        "RequestLifecycle",
                        "        unproven |= attempts.onClientGone(now);",
                        "        attempts.onClientGone(now);"),
                fault(
                        "a broken answer proves that it did not run",
                        "TWICE|REFUSED",
                        "RequestLifecycle",
                        "unproven |= outcome == AttemptOutcome.FAILED || outcome == AttemptOutcome.BROKEN;",
                        "unproven |= outcome == AttemptOutcome.FAILED;"),
                fault(
                        "a host's promise without proof is passed on",
                        "REFUSED",
                        "ResponseVerdict",
                        "            return PROMISED;",
                        "            return FAILED;"),
                fault(
                        "a promise is given on as it comes",
                        "REFUSED",
                        "ResponseReader",
                        "        discarding =\n                withheld || verdict",
                        "        discarding =\n                verdict",
                        "ResponseReader",
                        "streaming = verdict.outcome() == AttemptOutcome.SERVED && hostCall.onStreaming(response);",
                        "streaming = hostCall.onStreaming(response);"),
                fault(
                        "an answer that ended early is ended as if whole",
                        "MIXED",
                        "RequestLifecycle",
                        "            actions.abortClient();",
                        "            actions.finishStreaming();"),
                fault(
                        "what is cut off is closed in order, with its last chunk",
                        "MIXED",
                        "ClientConnection",
                        "    void abort() {\n",
                        "    void abort() {\n        writer.finishStreaming();\n"),
                fault(
                        "an answer that ends with its connection is whole",
                        "MIXED",
                        "BodyFraming",
                        "return length < 0 && !bare ? NONE : new BodyFraming(length);",
                        "return new BodyFraming(length);"),
                fault(
                        "chunks behind another coding",
                        "MIXED",
                        "BodyFraming",
                        "equalsIgnoreCase(\"chunked\") && !codings.hasNext()",
                        "toLowerCase().endsWith(\"chunked\")"),
                fault(
                        "a grant that comes twice is used twice",
                        "TWICE|BUDGET|REFUSED|PLACE|FAULT",
                        "RequestLifecycle",
                        "if (grant.requestId() != pendingRequestId) {",
                        "if (grant.requestId() != pendingRequestId && isSettled) {"),
                fault(
                        "what a client sends ahead is served at once",
                        "MIXED|FAULT",
                        "ClientConnection",
                        "} else if (state == State.BUSY || !pipelined.isEmpty()) {",
                        "} else if (!pipelined.isEmpty()) {"),
                fault(
                        "a host's failure with another status and its seal",
                        "MIXED",
                        "ResponseReader",
                        "                status, head.status()",
                        "                status == 504 ? 502 : status, head.status()"),
                fault(
                        "a failure of the edge's own that bears a seal",
                        "MIXED",
                        "HeaderWriter",
                        "        if (retryAfterMs >= 0) {",
                        "        header(out, \"Brambletray-Response-Seal\", \"s\");\n        if (retryAfterMs >= 0) {"),
                fault(
                        "a status that is none",
                        "MIXED",
                        "ResponseVerdict",
                        "        if (status > MAX_STATUS) {",
                        "        if (status < 0) {"),
                fault(
                        "the hosts of copies are not counted",
                        "BUDGET",
                        "RequestLifecycle",
                        "        sentInstances++;",
                        "        sentInstances += attempt.hedge ? 0 : 1;"),
                fault(
                        "a copy beyond the last host allowed",
                        "BUDGET",
                        "RequestLifecycle",
                        "return !isSettled && plan.idempotent() && sentInstances < plan.maxInstances() "
                                + "&& sentInstances > 0;",
                        "return !isSettled && plan.idempotent() && sentInstances > 0;"),
                fault(
                        "a try after a failure beyond the last host allowed",
                        "BUDGET",
                        "RequestLifecycle",
                        "                && sentInstances < plan.maxInstances()\n                && (plan",
                        "                && (plan"),
                fault(
                        "a retry-count of 0 is no bound",
                        "BUDGET",
                        "RequestRouter",
                        "Math.max(1, route.retryCount())",
                        "route.retryCount() == 0 ? 9 : route.retryCount()"),
                fault(
                        "a second answer for a client that has one",
                        "MIXED|FAULT",
                        "ClientReply",
                        "        ClientConnection to = client;\n        client = null;\n",
                        "        ClientConnection to = client;\n",
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
