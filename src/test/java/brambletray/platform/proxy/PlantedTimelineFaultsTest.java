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
                        "pen.isWriting() ? WRITING_MOST_MS : LINGER_MS",
                        "LINGER_MS"),
                fault(
                        "an answer on its way counts as a rest",
                        SlowReaderTest.class,
                        "anEdgeThatStopsAcceptingDoesNotCutAnAnswerOnItsWay",
                        "ClientConnection",
                        "ahead.isEmpty() && !pen.isWriting();",
                        "ahead.isEmpty();"),
                fault(
                        "the idle time begins when the answer is written",
                        SlowReaderTest.class,
                        "theIdleTimeBeginsWhenTheAnswerIsTaken",
                        "ClientConnection",
                        "        pen.whenWritten(this::written);\n",
                        ""),
                fault(
                        "a client that never reads is kept",
                        SlowReaderTest.class,
                        "aClientThatNeverReadsIsGivenUp",
                        "ClientConnection",
                        "WRITING_MOST_MS = 15_000;",
                        "WRITING_MOST_MS = 150_000;"),
                fault(
                        "the process ends without an answer to what waits",
                        GracefulShutdownTest.class,
                        "aRequestThatStillWaitsForAHostIsRefusedBeforeTheProcessEnds",
                        "GracefulShutdown",
                        "        after(graceMs - ANSWER_MARGIN_MS, front::giveUp);\n",
                        ""),
                fault(
                        "a silent host ends a request as soon as the edge leaves",
                        GracefulShutdownTest.class,
                        "aRequestAtASilentHostIsAnsweredBeforeTheProcessEndsAndNoSooner",
                        "GracefulShutdown",
                        "graceMs - ANSWER_MARGIN_MS, front::giveUp",
                        "acceptingMs, front::giveUp"),
                fault(
                        "a stream is cut when the rest is answered",
                        GracefulShutdownTest.class,
                        "aStreamThatIsStillComingShortlyBeforeTheEndIsNotCutForThat",
                        "ClientConnection",
                        "            driver.giveUp();",
                        "            cut();"),
                fault(
                        "the process ends while a request is being read",
                        GracefulShutdownTest.class,
                        "aRequestThatIsBeingReadIsServed",
                        "GracefulShutdown",
                        "flow.underWay() == 0 && front.connections() == 0",
                        "flow.underWay() == 0"),
                fault(
                        "what is read at the last moment is served",
                        GracefulShutdownTest.class,
                        "aRequestThatIsReadWholeAtTheLastMomentIsRefusedAtOnce",
                        "FrontEndServer",
                        "        flow.refuseNew();\n",
                        ""),
                fault(
                        "a second signal begins anew",
                        GracefulShutdownTest.class,
                        "aSecondSignalChangesNothing",
                        "GracefulShutdown",
                        "        if (begun) {\n            return;",
                        "        if (begun) {\n            exit.accept(1);\n            return;"),
                fault(
                        "what was read ahead is dropped by an edge that leaves",
                        PipelinedRequestTest.class,
                        "anEdgeThatLeavesServesItBeforeItClosesTheConnection",
                        "ClientConnection",
                        "front.draining() && ahead.isEmpty();",
                        "front.draining();"),
                fault(
                        "the time of what was read ahead begins with its turn",
                        PipelinedRequestTest.class,
                        "itsTimeBeginsWhenItIsRead",
                        "ClientConnection",
                        "take(next.part(), next.at());",
                        "take(next.part(), front.now());"),
                fault(
                        "no timer while a place is waited for",
                        RouteTimeoutTest.class,
                        "noPlaceIsEverGranted",
                        "RequestLifecycle",
                        "        return copyAt != 0 && asking == 0 ? Math.min(copyAt, lastCall) : lastCall;",
                        "        return copyAt != 0 && asking == 0 ? Math.min(copyAt, lastCall) : attempts.live() > 0 ? lastCall : plan.end() + 300;"),
                fault(
                        "an answer that has begun at the host holds its client past the timeout",
                        RouteTimeoutTest.class,
                        "theHostsAnswerIsNotWholeYet",
                        "RequestLifecycle",
                        "        this.lastCall = plan.end() - Math",
                        "        this.lastCall = plan.end() + 300 - Math"),
                fault(
                        "a stream is waited for past the timeout",
                        RouteTimeoutTest.class,
                        "aStreamedAnswerStops",
                        "RequestLifecycle",
                        "LINGER = 150;",
                        "LINGER = 400;"),
                fault(
                        "a stream that its client does not read is waited for past the timeout",
                        RouteTimeoutTest.class,
                        "theClientDoesNotReadAStreamedAnswer",
                        "RequestLifecycle",
                        "LINGER = 150;",
                        "LINGER = 400;"),
                fault(
                        "a body that stops has no time of its own",
                        RouteTimeoutTest.class,
                        "theClientsBodyStops",
                        "ClientConnection",
                        "    public void channelReadComplete(ChannelHandlerContext context) {\n        watchBody();",
                        "    public void channelReadComplete(ChannelHandlerContext context) {"),
                fault(
                        "a body that stops behind another request has no time of its own",
                        RouteTimeoutTest.class,
                        "theClientsBodyStopsBehindAnotherRequest",
                        "ClientConnection",
                        "            channel.config().setAutoRead(true);\n        }\n        watchBody();",
                        "            channel.config().setAutoRead(true);\n        }"),
                fault(
                        "a timer of the body that outlives it",
                        RouteTimeoutTest.class,
                        "aBodyThatIsWholeInTimeIsNotAnsweredForItsSlowness",
                        "ClientConnection",
                        "        stopWatchingBody();\n",
                        "",
                        "ClientConnection",
                        "late(state == State.BODY);",
                        "late(true);",
                        "ClientConnection",
                        "if (state != State.LAST && state != State.BUSY) {",
                        "if (state != State.LAST) {"),
                fault(
                        "lowered limits end a request that is being read",
                        ConfigurationChangeTest.class,
                        "limitsAreLoweredWhileABodyIsRead",
                        "ClientConnection",
                        "        Rejection turn = draft.body(content);",
                        "        Rejection turn = front.flow().limits().bodyBytes() < 5 ? Rejection.TOO_LARGE : draft.body(content);"),
                fault(
                        "a rest allowed by the limits before is cut short",
                        ConfigurationChangeTest.class,
                        "aConnectionThatRestedUnderTheOldLimitsIsStillTaken",
                        "ClientConnection",
                        "        return Math.max(limits.idleMs(), front.flow().limits().idleMs());",
                        "        return front.flow().limits().idleMs();"),
                fault(
                        "limits of when the connection was opened",
                        ConfigurationChangeTest.class,
                        "raisedLimitsHoldOnConnectionsThatAreOpenAlready",
                        "ClientConnection",
                        "            limits = front.flow().limits();\n",
                        ""),
                fault(
                        "a withdrawn route ends what waits",
                        ConfigurationChangeTest.class,
                        "theRouteIsWithdrawnWhileARequestWaits",
                        "RequestDriver",
                        "                lifecycle.granted(grant, flow.now());",
                        "                if (flow.end(clientRequest.headers(), clientRequest.uri(), 0) == Long.MAX_VALUE) {\n"
                                + "                    client.cut();\n                }\n"
                                + "                lifecycle.granted(grant, flow.now());"),
                fault(
                        "a withdrawn route ends what is streamed",
                        ConfigurationChangeTest.class,
                        "theRouteIsWithdrawnWhileAnAnswerIsStreamed",
                        "RequestDriver",
                        "        return client.more(bytes);",
                        "        if (flow.end(clientRequest.headers(), clientRequest.uri(), 0) == Long.MAX_VALUE) {\n"
                                + "            client.cut();\n        }\n"
                                + "        return client.more(bytes);"));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("faults")
    void isFound(String what, Class<?> test, String method, String[] edits) {
        assertNull(Mutant.of().fails(test, method), "it holds without the fault");
        String found = Mutant.of(edits).fails(test, method);
        assertNotNull(found, "not found: " + what);
    }
}
