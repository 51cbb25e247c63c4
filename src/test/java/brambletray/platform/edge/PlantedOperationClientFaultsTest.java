package brambletray.platform.edge;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import brambletray.platform.proxy.Mutant;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Faults of an edge's claims and answers, each planted, and found by the timeline that is there to find it. */
class PlantedOperationClientFaultsTest {
    private static Arguments fault(String what, String method, String... edits) {
        return Arguments.of(what, method, edits);
    }

    static Stream<Arguments> faults() {
        return Stream.of(
                fault(
                        "an operation of which nobody knows is claimed again",
                        "whatMayHaveRunIsUnknownEverywhere",
                        "OperationClient",
                        "                case UNKNOWN -> finish(listener::onUnknown);\n",
                        ""),
                fault(
                        "what may have run is remembered as not run",
                        "whatMayHaveRunIsUnknownEverywhere",
                        "GrantedClaim",
                        "        results.end(claim, Result.UNKNOWN);",
                        "        release();"),
                fault(
                        "the operations of an edge that has ended run again",
                        "theEndOfAnEdgeLeavesItsOperationsUnknown",
                        "ResultQueries",
                        "                query.listener.accept(Result.UNKNOWN);",
                        "                query.listener.accept(Result.NOT_RUN);"),
                fault(
                        "a claim of the edge's last incarnation has not run",
                        "theEndOfAnEdgeLeavesItsOperationsUnknown",
                        "OperationClient",
                        "                onResult(Result.UNKNOWN);",
                        "                onResult(Result.NOT_RUN);"),
                fault(
                        "a dropped answer has not run",
                        "anAnswerThatWasDroppedIsUnknownEverywhere",
                        "OperationResults",
                        "                oldest.result = Result.UNKNOWN;",
                        "                oldest.result = Result.NOT_RUN;"),
                fault(
                        "a forgotten claim has not run",
                        "whatIsForgottenIsUnknown",
                        "OperationResults",
                        "return claim.sequence() <= forgottenUpTo ? Result.UNKNOWN : Result.NOT_RUN;",
                        "return Result.NOT_RUN;"),
                fault(
                        "what has run is released",
                        "aRepeatAtAnotherEdgeWaitsForTheFirstOne",
                        "GrantedClaim",
                        "        results.end(claim, Result.done(answer));",
                        "        claimClient.release(claim, operation);\n"
                                + "        results.end(claim, Result.done(answer));"),
                fault(
                        "a claim in work is released when its holder is asked for",
                        "aRepeatAtAnotherEdgeWaitsForTheFirstOne",
                        "OperationClient",
                        "        if (known == Result.NOT_RUN && key != null) {",
                        "        if (known != Result.UNKNOWN && key != null) {"),
                fault(
                        "the answer of another operation",
                        "eachOperationHasItsOwnAnswer",
                        "OperationResults",
                        "        ClaimId claim = claims.get(key);",
                        "        ClaimId claim = claims.isEmpty() ? null : claims.values().iterator().next();"),
                fault(
                        "the answer of another claim of this edge",
                        "eachOperationHasItsOwnAnswer",
                        "OperationClient",
                        "        Result known = holder.incarnation() == incarnation ? findHere(holder, null)",
                        "        Result known = holder.incarnation() == incarnation "
                                + "? findHere(new ClaimId(incarnation, 1), null)"),
                fault(
                        "the answer of an edge that was not asked",
                        "onlyTheEdgeThatWasAskedAnswers",
                        "ResultQueries",
                        "        if (query == null || !query.edge.equals(edge)) {",
                        "        if (query == null) {"),
                fault(
                        "the answer of the window before",
                        "aKeyIsFreeAfterItsWindowAndNotBefore",
                        "OperationResults",
                        "return entry == null || entry.claimedAtMs < sinceMs ? null : claim;",
                        "return entry == null ? null : claim;"),
                fault(
                        "a claim is used after its window",
                        "aClaimOfAnEdgeThatStoodStillIsNotUsedLate",
                        "GrantedClaim",
                        "return clock.getAsLong() < usableUntilMs;",
                        "return true;"),
                fault(
                        "a claim is as old as its grant",
                        "aGrantThatCameWhileTheEdgeStoodStillIsAsOldAsItsRequest",
                        "ClaimClient",
                        "waiting.listener.onGranted(granted.claim(), waiting.claimedAtMs);",
                        "waiting.listener.onGranted(granted.claim(), clock.getAsLong());"),
                fault(
                        "an operation that waits for a silent edge counts as in work",
                        "queriesWaitUntilTheLinkIsUp",
                        "ResultQueries",
                        "return query != null && query.isRunning;",
                        "return query != null;"),
                fault(
                        "a query is not repeated when the link is up",
                        "queriesWaitUntilTheLinkIsUp",
                        "ResultQueries",
                        "            if (query.edge.equals(edge)) {",
                        "            if (false) {"));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("faults")
    void isFound(String what, String method, String[] edits) {
        Class<?> test = OperationClientTest.class;
        assertNull(Mutant.ofPackageOf(test).failureOf(test, method), "it holds without the fault");
        String found = Mutant.ofPackageOf(test, edits).failureOf(test, method);
        assertNotNull(found, "not found: " + what);
        System.out.println("planted: " + what + " -> " + found.replace('\n', ' '));
    }
}
