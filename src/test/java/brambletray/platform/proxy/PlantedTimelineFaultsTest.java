package brambletray.platform.proxy;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Faults of a request's time and of planned work, each planted, and found by the timeline that is there to find it. */
class PlantedTimelineFaultsTest {
    private static Arguments fault(String what, Class<?> test, String method, String... edits) {
        return Arguments.of(what, test, method, edits);
    }

    static Stream<Arguments> faults() {
        return Stream.of(
                fault(
                        "an answer that closes its connection is cut after a second",
                        SlowReaderTest.class,
                        "theAnswerThatClosesAConnectionOfADrainingEdgeIsTakenToItsEnd",
                        "ClientConnection",
                        "writer.isWriting() ? MAX_WRITE_MS : LINGER_MS",
                        "LINGER_MS"),
                fault(
                        "an answer on its way counts as a rest",
                        SlowReaderTest.class,
                        "anEdgeThatStopsAcceptingDoesNotCutAnAnswerOnItsWay",
                        "ClientConnection",
                        "pipelined.isEmpty() && !writer.isWriting();",
                        "pipelined.isEmpty();"),
                fault(
                        "the idle time begins when the answer is written",
                        SlowReaderTest.class,
                        "theIdleTimeBeginsWhenTheAnswerIsTaken",
                        "ClientConnection",
                        "        writer.whenWritten(this::onWritten);\n",
                        ""),
                fault(
                        "a client that never reads is kept",
                        SlowReaderTest.class,
                        "aClientThatNeverReadsIsGivenUp",
                        "ClientConnection",
                        "MAX_WRITE_MS = 15_000;",
                        "MAX_WRITE_MS = 150_000;"),
                fault(
                        "the process ends without an answer to what waits",
                        GracefulShutdownTest.class,
                        "aRequestThatStillWaitsForAHostIsRefusedBeforeTheProcessEnds",
                        "GracefulShutdown",
                        "        after(graceMs - ANSWER_MARGIN_MS, frontEndServer::answerNow);\n",
                        ""),
                fault(
                        "a silent host ends a request as soon as the edge leaves",
                        GracefulShutdownTest.class,
                        "aRequestAtASilentHostIsAnsweredBeforeTheProcessEndsAndNoSooner",
                        "GracefulShutdown",
                        "graceMs - ANSWER_MARGIN_MS, frontEndServer::answerNow",
                        "acceptingMs, frontEndServer::answerNow"),
                fault(
                        "a stream is cut when the rest is answered",
                        GracefulShutdownTest.class,
                        "aStreamThatIsStillComingShortlyBeforeTheEndIsNotCutForThat",
                        "ClientConnection",
                        "            driver.answerNow();",
                        "            abort();"),
                fault(
                        "the process ends while a request is being read",
                        GracefulShutdownTest.class,
                        "aRequestThatIsBeingReadIsServed",
                        "GracefulShutdown",
                        "requestRouter.activeRequests() == 0 && frontEndServer.connectionCount() == 0",
                        "requestRouter.activeRequests() == 0"),
                fault(
                        "what is read at the last moment is served",
                        GracefulShutdownTest.class,
                        "aRequestThatIsReadWholeAtTheLastMomentIsRefusedAtOnce",
                        "FrontEndServer",
                        "        requestRouter.rejectNew();\n",
                        ""),
                fault(
                        "a second signal begins anew",
                        GracefulShutdownTest.class,
                        "aSecondSignalChangesNothing",
                        "GracefulShutdown",
                        "        if (started) {\n            return;",
                        "        if (started) {\n            exit.accept(1);\n            return;"),
                fault(
                        "what was read ahead is dropped by an edge that leaves",
                        PipelinedRequestTest.class,
                        "anEdgeThatLeavesServesItBeforeItClosesTheConnection",
                        "ClientConnection",
                        "front.isDraining() && pipelined.isEmpty();",
                        "front.isDraining();"),
                fault(
                        "the time of what was read ahead begins with its turn",
                        PipelinedRequestTest.class,
                        "itsTimeBeginsWhenItIsRead",
                        "ClientConnection",
                        "onPart(next.part(), next.readAtMs());",
                        "onPart(next.part(), front.now());"),
                fault(
                        "no timer while a place is waited for",
                        RouteTimeoutTest.class,
                        "noPlaceIsEverGranted",
                        "RequestLifecycle",
                        "        return hedgeAtMs != 0 && pendingRequestId == 0 ? Math.min(hedgeAtMs, "
                                + "lastSendMs) : lastSendMs;",
                        "        return hedgeAtMs != 0 && pendingRequestId == 0 ? Math.min(hedgeAtMs, "
                                + "lastSendMs) : attempts.activeCount() > 0 ? lastSendMs : plan.deadlineMs() + 300;"),
                fault(
                        "an answer that has begun at the host holds its client past the timeout",
                        RouteTimeoutTest.class,
                        "theHostsAnswerIsNotWholeYet",
                        "RequestLifecycle",
                        "        this.lastSendMs = plan.deadlineMs() - Math",
                        "        this.lastSendMs = plan.deadlineMs() + 300 - Math"),
                fault(
                        "a stream is waited for past the timeout",
                        RouteTimeoutTest.class,
                        "aStreamedAnswerStops",
                        "RequestLifecycle",
                        "LINGER_MS = 150;",
                        "LINGER_MS = 400;"),
                fault(
                        "a stream that its client does not read is waited for past the timeout",
                        RouteTimeoutTest.class,
                        "theClientDoesNotReadAStreamedAnswer",
                        "RequestLifecycle",
                        "LINGER_MS = 150;",
                        "LINGER_MS = 400;"),
                fault(
                        "a body that stops has no time of its own",
                        RouteTimeoutTest.class,
                        "theClientsBodyStops",
                        "ClientConnection",
                        "    public void channelReadComplete(ChannelHandlerContext context) {\n        "
                                + "startBodyTimeout();",
                        "    public void channelReadComplete(ChannelHandlerContext context) {"),
                fault(
                        "a body that stops behind another request has no time of its own",
                        RouteTimeoutTest.class,
                        "theClientsBodyStopsBehindAnotherRequest",
                        "ClientConnection",
                        "            channel.config().setAutoRead(true);\n        }\n        startBodyTimeout();",
                        "            channel.config().setAutoRead(true);\n        }"),
                fault(
                        "a timer of the body that outlives it",
                        RouteTimeoutTest.class,
                        "aBodyThatIsWholeInTimeIsNotAnsweredForItsSlowness",
                        "ClientConnection",
                        "        stopBodyTimeout();\n",
                        "",
                        "ClientConnection",
                        "timeOut(state == State.BODY);",
                        "timeOut(true);",
                        "ClientConnection",
                        "if (state != State.CLOSING && state != State.BUSY) {",
                        "if (state != State.CLOSING) {"),
                fault(
                        "lowered limits end a request that is being read",
                        ConfigurationChangeTest.class,
                        "limitsAreLoweredWhileABodyIsRead",
                        "ClientConnection",
                        "        Rejection rejection = requestReader.onBody(content);",
                        "        Rejection rejection = front.requestRouter().limits().maxBodyBytes() < 5 "
                                + "? Rejection.TOO_LARGE : requestReader.onBody(content);"),
                fault(
                        "a rest allowed by the limits before is cut short",
                        ConfigurationChangeTest.class,
                        "aConnectionThatRestedUnderTheOldLimitsIsStillTaken",
                        "ClientConnection",
                        "        return Math.max(limits.idleTimeoutMs(), "
                                + "front.requestRouter().limits().idleTimeoutMs());",
                        "        return front.requestRouter().limits().idleTimeoutMs();"),
                fault(
                        "limits of when the connection was opened",
                        ConfigurationChangeTest.class,
                        "raisedLimitsHoldOnConnectionsThatAreOpenAlready",
                        "ClientConnection",
                        "            limits = front.requestRouter().limits();\n",
                        ""),
                fault(
                        "a withdrawn route ends what waits",
                        ConfigurationChangeTest.class,
                        "theRouteIsWithdrawnWhileARequestWaits",
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
                        "a withdrawn route ends what is streamed",
                        ConfigurationChangeTest.class,
                        "theRouteIsWithdrawnWhileAnAnswerIsStreamed",
                        "ClientReply",
                        "        return client.writeMore(bytes);",
                        "        if (router.deadlineMs(clientRequest.headers(), clientRequest.uri(), 0) "
                                + "== Long.MAX_VALUE) {\n            client.abort();\n        }\n        return "
                                + "client.writeMore(bytes);"));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("faults")
    void isFound(String what, Class<?> test, String method, String[] edits) {
        assertNull(Mutant.of().failureOf(test, method), "it holds without the fault");
        String found = Mutant.of(edits).failureOf(test, method);
        assertNotNull(found, "not found: " + what);
    }
}
