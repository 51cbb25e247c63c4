package brambletray.platform.edge;

import brambletray.platform.proxy.Mutant;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Mutation tests: each fault injected into the handling of claims and answers must make its test fail. */
class PlantedOperationClientFaultsTest {
    private static Arguments fault(String what, String method, String... edits) {
        return Arguments.of(what, method, edits);
    }

    static Stream<Arguments> faults() {
        return Stream.of(
                fault(
                        "an operation with an unknown result is claimed again",
                        "abandonedOperationIsUnknownAtAllEdges",
                        "OperationClient",
                        "                case UNKNOWN -> finish(listener::onUnknown);\n",
                        ""),
                fault(
                        "an abandoned claim is recorded as not run",
                        "abandonedOperationIsUnknownAtAllEdges",
                        "GrantedClaim",
                        "        results.end(claim, Result.UNKNOWN);",
                        "        release();"),
                fault(
                        "operations held by a failed edge run again",
                        "operationsOfARestartedEdgeAreUnknown",
                        "ResultQueries",
                        "                query.listener.accept(Result.UNKNOWN);",
                        "                query.listener.accept(Result.NOT_RUN);"),
                fault(
                        "a claim of the edge's previous incarnation counts as not run",
                        "operationsOfARestartedEdgeAreUnknown",
                        "OperationClient",
                        "                onResult(Result.UNKNOWN);",
                        "                onResult(Result.NOT_RUN);"),
                fault(
                        "an evicted answer counts as not run",
                        "evictedAnswerIsUnknownAtAllEdges",
                        "OperationResults",
                        "                oldest.result = Result.UNKNOWN;",
                        "                oldest.result = Result.NOT_RUN;"),
                fault(
                        "a removed claim counts as not run",
                        "removedResultIsUnknown",
                        "OperationResults",
                        "return claim.sequence() <= highestRemovedSequence ? Result.UNKNOWN : Result.NOT_RUN;",
                        "return Result.NOT_RUN;"),
                fault(
                        "a completed claim is released",
                        "repeatAtAnotherEdgeReceivesTheFirstAnswer",
                        "GrantedClaim",
                        "        results.end(claim, Result.done(answer));",
                        "        claimClient.release(claim, operation);\n"
                                + "        results.end(claim, Result.done(answer));"),
                fault(
                        "a running claim is released when its result is queried",
                        "repeatAtAnotherEdgeReceivesTheFirstAnswer",
                        "OperationClient",
                        "        if (known == Result.NOT_RUN && key != null) {",
                        "        if (known != Result.UNKNOWN && key != null) {"),
                fault(
                        "an attempt gets the answer of another operation",
                        "eachOperationHasItsOwnAnswer",
                        "OperationResults",
                        "        ClaimId claim = claims.get(name);",
                        "        ClaimId claim = claims.isEmpty() ? null : claims.values().iterator().next();"),
                fault(
                        "a query gets the answer of another claim of this edge",
                        "eachOperationHasItsOwnAnswer",
                        "OperationClient",
                        "        Result known = holder.incarnation() == incarnation ? findLocal(holder, null)",
                        "        Result known = holder.incarnation() == incarnation "
                                + "? findLocal(new ClaimId(incarnation, 1), null)"),
                fault(
                        "a response of an edge that was not queried is accepted",
                        "responsesOfOtherEdgesAreIgnored",
                        "ResultQueries",
                        "return edge.equals(respondingEdge) && holder.equals(response.holder());",
                        "return holder.equals(response.holder());"),
                fault(
                        "a response to a query of the edge's previous incarnation is accepted",
                        "restartedEdgeDoesNotTakeTheAnswerToAQueryOfItsFormerProcess",
                        "ResultQueries",
                        "return edge.equals(respondingEdge) && holder.equals(response.holder());",
                        "return edge.equals(respondingEdge);"),
                fault(
                        "an answer of the previous window is returned",
                        "keyIsFreeAfterItsWindowAndNotBefore",
                        "OperationResults",
                        "return entry == null || entry.claimedAtMs < sinceMs ? null : claim;",
                        "return entry == null ? null : claim;"),
                fault(
                        "a claim is usable after its deadline",
                        "claimIsNotUsableAfterALongFreeze",
                        "GrantedClaim",
                        "return clock.getAsLong() < usableUntilMs;",
                        "return true;"),
                fault(
                        "the age of a claim is counted from its grant",
                        "grantReadAfterAFreezeIsAsOldAsItsRequest",
                        "ClaimClient",
                        "waiting.listener.onGranted(granted.claim(), waiting.claimedAtMs);",
                        "waiting.listener.onGranted(granted.claim(), clock.getAsLong());"),
                fault(
                        "an operation held by a silent edge counts as in progress",
                        "queriesAreResentWhenTheLinkIsUp",
                        "ResultQueries",
                        "return query != null && query.isRunning;",
                        "return query != null;"),
                fault(
                        "a query is not repeated when the link is up",
                        "queriesAreResentWhenTheLinkIsUp",
                        "ResultQueries",
                        "            if (query.edge.equals(edge)) {",
                        "            if (false) {"));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("faults")
    void isFound(String what, String method, String[] edits) {
        Mutant.assertFound(what, OperationClientTest.class, method, edits);
    }
}
