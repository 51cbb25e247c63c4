package brambletray.platform.proxy;

import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Plants faults in the handling of timeouts, shutdown and configuration changes and checks that a dedicated test
 * detects each one.
 */
class PlantedTimelineFaultsTest {
    private static Arguments fault(String what, Class<?> test, String method, String... edits) {
        return Arguments.of(what, test, method, edits);
    }

    static Stream<Arguments> faults() {
        return Stream.of(
                fault(
                        "a repeatable request is left to finish at its hosts when its client disconnects",
                        DepartedClientTest.class,
                        "bothCopiesOfAHedgedRequestEndWhenTheirClientDisconnects",
                        "RequestLifecycle",
                        "        attempts.cancelAll(now);\n        if (streamingAttempt",
                        "        attempts.cancelUnsent(now);\n        if (streamingAttempt"),
                fault(
                        "a request that must not be repeated is cancelled when its client disconnects",
                        DepartedClientTest.class,
                        "aRequestThatMustNotBeRepeatedRunsToItsEndOnceAlthoughItsClientDisconnected",
                        "RequestLifecycle",
                        "            attempts.cancelUnsent(now);\n            return;",
                        "            attempts.cancelAll(now);\n            return;"),
                fault(
                        "a hedged request is sent after its client disconnected",
                        DepartedClientTest.class,
                        "aHedgedRequestThatWaitsForASlotIsNotSentAfterItsClientDisconnects",
                        "RequestLifecycle",
                        "        cancelPendingRequest();\n        if (!plan.idempotent()) {",
                        "        isSettled = true;\n        if (!plan.idempotent()) {"),
                fault(
                        "a client is not read while its request is in progress, so its close is not seen",
                        DepartedPipeliningClientTest.class,
                        "aRequestBehindOneThatRunsToItsEndIsNotServedAfterItsClientDisconnects",
                        "PipelinedInput",
                        "        return bytes >= MAX_BYTES || unreservedParts > 0;",
                        "        return !isEmpty();"),
                fault(
                        "a client is read without a limit while its request is in progress",
                        DepartedPipeliningClientTest.class,
                        "readingPausesOnceEnoughWaitsAndEachRequestIsServedInItsTurn",
                        "PipelinedInput",
                        "        return bytes >= MAX_BYTES || unreservedParts > 0;",
                        "        return false;"),
                fault(
                        "reading from a client stays paused after what waited has been served",
                        DepartedPipeliningClientTest.class,
                        "readingPausesOnceEnoughWaitsAndEachRequestIsServedInItsTurn",
                        "ClientConnection",
                        "        if (!pipelined.isFull() && state != State.CLOSING) {",
                        "        if (state == State.CLOSING) {"),
                fault(
                        "a response that closes its connection is cut after one second",
                        SlowReaderTest.class,
                        "aDrainingEdgeWritesItsLastResponseCompletely",
                        "ClientConnection",
                        "writer.isWriting() ? MAX_WRITE_MS : LINGER_MS",
                        "LINGER_MS"),
                fault(
                        "a connection with a response being written counts as idle",
                        SlowReaderTest.class,
                        "stoppingToAcceptDoesNotTruncateAResponse",
                        "ClientConnection",
                        "pipelined.isEmpty() && !writer.isWriting();",
                        "pipelined.isEmpty();"),
                fault(
                        "the idle time starts before the response is written to the socket",
                        SlowReaderTest.class,
                        "theIdleTimeoutStartsOnceTheResponseIsWritten",
                        "ClientConnection",
                        "        writer.whenWritten(this::onWritten);\n",
                        ""),
                fault(
                        "a client that never reads is not disconnected",
                        SlowReaderTest.class,
                        "aClientThatNeverReadsIsDisconnected",
                        "ClientConnection",
                        "MAX_WRITE_MS = 15_000;",
                        "MAX_WRITE_MS = 150_000;"),
                fault(
                        "the process exits without answering waiting requests",
                        GracefulShutdownTest.class,
                        "aRequestThatStillWaitsForAHostIsRefusedBeforeTheProcessEnds",
                        "GracefulShutdown",
                        "        after(graceMs - ANSWER_MARGIN_MS, frontEndServer::answerNow);\n",
                        ""),
                fault(
                        "a request at a silent host is answered as soon as accepting ends",
                        GracefulShutdownTest.class,
                        "aRequestAtASilentHostIsAnsweredBeforeTheProcessEndsAndNoSooner",
                        "GracefulShutdown",
                        "graceMs - ANSWER_MARGIN_MS, frontEndServer::answerNow",
                        "acceptingMs, frontEndServer::answerNow"),
                fault(
                        "a stream is cut when waiting requests are answered",
                        GracefulShutdownTest.class,
                        "aStreamInProgressShortlyBeforeTheEndIsNotCut",
                        "ClientConnection",
                        "            driver.answerNow();",
                        "            abort();"),
                fault(
                        "the process exits while a request is being read",
                        GracefulShutdownTest.class,
                        "aRequestThatIsBeingReadIsServed",
                        "GracefulShutdown",
                        "requestRouter.activeRequests() == 0 && frontEndServer.connectionCount() == 0",
                        "requestRouter.activeRequests() == 0"),
                fault(
                        "a request completed at the last moment is served",
                        GracefulShutdownTest.class,
                        "aRequestCompletedAtTheLastMomentIsRefusedImmediately",
                        "FrontEndServer",
                        "        requestRouter.rejectNew();\n",
                        ""),
                fault(
                        "a second signal is not ignored",
                        GracefulShutdownTest.class,
                        "aSecondSignalChangesNothing",
                        "GracefulShutdown",
                        "        if (started) {\n            return;",
                        "        if (started) {\n            exit.accept(1);\n            return;"),
                fault(
                        "a pipelined request is dropped by a draining edge",
                        PipelinedRequestTest.class,
                        "aDrainingEdgeServesItBeforeItClosesTheConnection",
                        "ClientConnection",
                        "server.isDraining() && pipelined.isEmpty();",
                        "server.isDraining();"),
                fault(
                        "the deadline of a pipelined request counts from its turn",
                        PipelinedRequestTest.class,
                        "itsDeadlineCountsFromWhenItIsRead",
                        "ClientConnection",
                        "onPart(next.part(), next.readAtMs(), next.limits());",
                        "onPart(next.part(), server.now(), next.limits());"),
                fault(
                        "no timer is set while a request waits for a slot",
                        RouteTimeoutTest.class,
                        "noSlotIsEverGranted",
                        "RequestLifecycle",
                        "        return hedgeAtMs != 0 && pendingRequestId == 0 ? Math.min(hedgeAtMs, "
                                + "lastSendMs) : lastSendMs;",
                        "        return hedgeAtMs != 0 && pendingRequestId == 0 ? Math.min(hedgeAtMs, "
                                + "lastSendMs) : attempts.activeCount() > 0 ? lastSendMs : plan.deadlineMs() + 300;"),
                fault(
                        "an incomplete host response delays the client's response past the timeout",
                        RouteTimeoutTest.class,
                        "theHostsResponseIsIncomplete",
                        "RequestLifecycle",
                        "        this.lastSendMs = plan.deadlineMs() - Math",
                        "        this.lastSendMs = plan.deadlineMs() + 300 - Math"),
                fault(
                        "a stalled stream is waited for past the timeout",
                        RouteTimeoutTest.class,
                        "aStreamedAnswerStops",
                        "RequestLifecycle",
                        "HOST_ANSWER_GRACE_MS = 150;",
                        "HOST_ANSWER_GRACE_MS = 400;"),
                fault(
                        "a stream that the client does not read is waited for past the timeout",
                        RouteTimeoutTest.class,
                        "theClientDoesNotReadAStreamedAnswer",
                        "RequestLifecycle",
                        "HOST_ANSWER_GRACE_MS = 150;",
                        "HOST_ANSWER_GRACE_MS = 400;"),
                fault(
                        "a stalled request body has no timeout",
                        RouteTimeoutTest.class,
                        "theClientsBodyStops",
                        "ClientConnection",
                        "    public void channelReadComplete(ChannelHandlerContext context) {\n        "
                                + "startBodyTimeout();",
                        "    public void channelReadComplete(ChannelHandlerContext context) {"),
                fault(
                        "a stalled body of a pipelined request has no timeout",
                        RouteTimeoutTest.class,
                        "theClientsPipelinedBodyStops",
                        "ClientConnection",
                        "            channel.config().setAutoRead(true);\n        }\n        startBodyTimeout();",
                        "            channel.config().setAutoRead(true);\n        }"),
                fault(
                        "the body timeout is not cancelled when the body is complete",
                        RouteTimeoutTest.class,
                        "aSlowBodyThatCompletesInTimeIsForwarded",
                        "ClientConnection",
                        "        bodyTimer.stop();\n",
                        "",
                        "ClientConnection",
                        "timeOutIfDue(state == State.BODY));",
                        "timeOutIfDue(true));",
                        "ClientConnection",
                        "if (state != State.CLOSING && state != State.BUSY) {",
                        "if (state != State.CLOSING) {"),
                fault(
                        "lowered limits end a request that is being read",
                        ConfigurationChangeTest.class,
                        "limitsAreLoweredWhileABodyIsRead",
                        "ClientConnection",
                        "requestReader.onBody(content, allowed(limits).maxBodyBytes());",
                        "requestReader.onBody(content, server.requestRouter().limits().maxBodyBytes());"),
                fault(
                        "a connection is closed although idle time remains under the earlier limits",
                        ConfigurationChangeTest.class,
                        "aConnectionIdleUnderTheOldLimitsIsStillUsable",
                        "ClientConnection",
                        "        ClientLimits current = allowed(limits);",
                        "        ClientLimits current = server.requestRouter().limits();"),
                fault(
                        "the limits of the time when the connection was opened stay in force",
                        LimitChangesTest.class,
                        "loweredSizesApplyToNewRequests",
                        "ClientConnection",
                        "        arrivingLimits = server.requestRouter().limits();\n",
                        ""),
                fault(
                        "a raised limit does not apply to a request that has begun",
                        LimitChangesTest.class,
                        "raisedSizesApplyToAllRequests",
                        "ClientConnection",
                        "        return beganUnder.max(server.requestRouter().limits());",
                        "        return beganUnder;"),
                fault(
                        "a queued request is held to the limits of its turn",
                        LimitChangesTest.class,
                        "loweredSizesDoNotEndRequestsThatHaveBegun",
                        "ClientConnection",
                        "                limits = beganUnder;\n",
                        ""),
                fault(
                        "a head that began to arrive on a busy connection has the time of an idle one",
                        LimitChangesTest.class,
                        "loweredHeaderTimeoutAppliesToNewHeads",
                        "ClientConnection",
                        "        headArriving = true;\n",
                        ""),
                fault(
                        "removing a route aborts its waiting requests",
                        ConfigurationChangeTest.class,
                        "routeRemovedWhileARequestWaits",
                        "RequestDriver",
                        "                lifecycle.onGranted(grant, router.now());",
                        "                if (router.deadlineMs(clientRequest.headers(), "
                                + "clientRequest.uri(), 0) == Long.MAX_VALUE) {\n                    "
                                + "clientReply.cut();\n                }\n                lifecycle.onGranted(grant, "
                                + "router.now());",
                        "ClientReply",
                        "    void abort() {\n",
                        "    void cut() {\n        client.abort();\n    }\n\n    void abort() {\n"),
                fault(
                        "removing a route aborts its streamed responses",
                        ConfigurationChangeTest.class,
                        "routeRemovedWhileAResponseIsStreamed",
                        "ClientReply",
                        "        return client.writeMore(bytes);",
                        "        if (router.deadlineMs(clientRequest.headers(), clientRequest.uri(), 0) "
                                + "== Long.MAX_VALUE) {\n            client.abort();\n        }\n        return "
                                + "client.writeMore(bytes);"));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("faults")
    void isFound(String what, Class<?> test, String method, String[] edits) {
        Mutant.assertFound(what, test, method, edits);
    }
}
