package brambletray.platform.controlplane;

import brambletray.platform.operations.OperationRegistryTest;
import brambletray.platform.proxy.Mutant;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Mutation tests: each fault injected into the core's handling of claims must make its test fail. */
class PlantedClaimFaultsTest {
    private static Arguments fault(String what, Class<?> test, String method, String... edits) {
        return Arguments.of(what, test, method, edits);
    }

    static Stream<Arguments> faults() {
        return Stream.of(
                fault(
                        "a claim by the credential's former tenant is granted",
                        OperationClaimsTest.class,
                        "aClaimByTheCredentialsFormerTenantIsNotGranted",
                        "OperationClaims",
                        "} else if (isOutdated(assignment)) {",
                        "} else if (false) {"),
                fault(
                        "a repeated claim is granted without a look at its tenant",
                        OperationClaimsTest.class,
                        "aClaimIsNotGrantedOnceTheCredentialIsPassedOnBeforeItsCommit",
                        "OperationClaims",
                        "answerClaim(edge, request.claim(), operation.assignment(), holder);",
                        "answerClaim(edge, request.claim(), null, holder);"),
                fault(
                        "an outdated claim is not told of the claim that holds the operation",
                        OperationClaimsTest.class,
                        "aRepeatWithACredentialThatWasPassedOnIsToldOfTheFirstClaim",
                        "OperationClaims",
                        "} else if (!holder.id().equals(claim)) {",
                        "} else if (!holder.id().equals(claim) && !isOutdated(assignment)) {"),
                fault(
                        "the name by credential does not hold",
                        OperationRegistryTest.class,
                        "aClaimHoldsEachOfItsNames",
                        "ActiveClaims",
                        "return claim == null && names.byCredential() != null ?"
                                + " find(names.byCredential(), logTimeMs) : claim;",
                        "return claim;"),
                fault(
                        "a release leaves the name by credential",
                        OperationRegistryTest.class,
                        "aReleaseAndAnExpiryFreeEachNameOfAClaim",
                        "ActiveClaims",
                        "byName.remove(claim.names().byCredential(), claim);",
                        ""),
                fault(
                        "a restored claim has no name by credential",
                        OperationRegistryTest.class,
                        "aRestoredClaimHoldsEachOfItsNames",
                        "OperationCodec",
                        "return new OperationNames(byTenant, in.readBoolean() ? readKey(in) : null);",
                        "return in.readBoolean() && readKey(in) == null ? null"
                                + " : OperationNames.withoutCredential(byTenant);"));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("faults")
    void isFound(String what, Class<?> test, String method, String[] edits) {
        Mutant.assertFound(what, test, method, edits);
    }
}
