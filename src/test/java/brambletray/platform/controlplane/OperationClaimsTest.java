package brambletray.platform.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.platform.configuration.KeyDigest;
import brambletray.platform.operations.ClaimGranted;
import brambletray.platform.operations.ClaimHeld;
import brambletray.platform.operations.ClaimId;
import brambletray.platform.operations.ClaimRelease;
import brambletray.platform.operations.ClaimReleased;
import brambletray.platform.operations.ClaimRequest;
import brambletray.platform.operations.ClaimUnavailable;
import brambletray.platform.operations.OperationBatch;
import brambletray.platform.operations.OperationCommand;
import brambletray.platform.operations.OperationIdentity;
import brambletray.platform.operations.OperationKey;
import brambletray.platform.operations.OperationNames;
import brambletray.platform.operations.OperationRegistry;
import brambletray.platform.replication.ProposalOutcome;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Claims at one member, whose log is played by the test: what is proposed is applied, late, or not at all. */
class OperationClaimsTest {
    private static final long WINDOW_MS = 60_000;
    private static final long FIRST_TOKEN = 100;
    private static final OperationKey KEY = OperationKey.of("t", "k");
    private static final OperationKey OTHER_KEY = OperationKey.of("t", "other");

    private record Sent(String edge, Object frame) {}

    private long nowMs;
    /** Tenants by their credentials, in the configuration of this member. */
    private final Map<KeyDigest, String> tenants = new HashMap<>();

    private final Map<Long, byte[]> proposals = new LinkedHashMap<>();
    private final List<Sent> sent = new ArrayList<>();
    private final OperationRegistry registry = new OperationRegistry(1, 0);
    private final OperationClaims claims = new OperationClaims(registry, new Access(), WINDOW_MS, FIRST_TOKEN);

    private final class Access implements OperationClaims.Access {
        @Override
        public void propose(long token, byte[] change) {
            proposals.put(token, change);
        }

        @Override
        public void send(String edge, Object frame) {
            sent.add(new Sent(edge, frame));
        }

        @Override
        public String tenantOf(KeyDigest credential) {
            return tenants.getOrDefault(credential, "");
        }

        @Override
        public long nowMs() {
            return nowMs;
        }
    }

    private static ClaimId id(long sequence) {
        return new ClaimId(9, sequence);
    }

    private void claim(String edge, long sequence, OperationKey key) {
        claims.onClaim(edge, new ClaimRequest(id(sequence), OperationIdentity.withoutCredential(key)));
    }

    private void release(String edge, long sequence, OperationKey key) {
        claims.onRelease(edge, new ClaimRelease(id(sequence), key));
    }

    private OperationBatch apply(byte[] change) {
        OperationBatch batch = OperationBatch.decode(change);
        claims.onOperationsApplied(registry.apply(batch, nowMs));
        return batch;
    }

    private OperationBatch commitNext() {
        long token = proposals.keySet().iterator().next();
        OperationBatch batch = apply(proposals.remove(token));
        claims.onProposalCompleted(token, ProposalOutcome.COMMITTED);
        return batch;
    }

    private byte[] fail(ProposalOutcome outcome) {
        long token = proposals.keySet().iterator().next();
        byte[] change = proposals.remove(token);
        claims.onProposalCompleted(token, outcome);
        return change;
    }

    @Test
    void nothingIsAnsweredBeforeTheBatchIsApplied() {
        claim("e1", 1, KEY);
        assertEquals(List.of(), sent);
        commitNext();
        assertEquals(List.of(new Sent("e1", new ClaimGranted(id(1)))), sent);
    }

    @Test
    void twoEdgesThatClaimOneKeyAtOnceGetOneGrant() {
        claim("e1", 1, KEY);
        claim("e2", 2, KEY);
        commitNext();
        commitNext();
        assertEquals(
                List.of(new Sent("e1", new ClaimGranted(id(1))), new Sent("e2", new ClaimHeld(id(2), id(1), "e1"))),
                sent);
    }

    private void claimAs(String edge, long sequence, String tenant, KeyDigest credential) {
        claims.onClaim(edge, new ClaimRequest(id(sequence), OperationIdentity.of(tenant, credential, "k")));
    }

    /**
     * Guards against a run that no other edge finds, as the edge takes the credential for its former tenant's.
     *
     * <pre>
     *   core   e1 (former configuration)   e2
     *   c: village
     *          claims as household
     *          unavailable
     *          releases
     *                                      claims as village: granted
     * </pre>
     */
    @Test
    void aClaimByTheCredentialsFormerTenantIsNotGranted() {
        KeyDigest credential = KeyDigest.of("c");
        tenants.put(credential, "village");
        claimAs("e1", 1, "household", credential);
        commitNext();
        assertEquals(1, sent.size());
        assertInstanceOf(ClaimUnavailable.class, sent.get(0).frame());
        release("e1", 1, OperationKey.of("household", "k"));
        commitNext();
        sent.clear();
        claimAs("e2", 2, "village", credential);
        commitNext();
        assertEquals(List.of(new Sent("e2", new ClaimGranted(id(2)))), sent);
    }

    /** Guards against a grant by the assignment at the proposal, which a change before the commit makes void. */
    @Test
    void aClaimIsNotGrantedOnceTheCredentialIsPassedOnBeforeItsCommit() {
        KeyDigest credential = KeyDigest.of("c");
        tenants.put(credential, "household");
        claimAs("e1", 1, "household", credential);
        tenants.put(credential, "village");
        commitNext();
        assertInstanceOf(ClaimUnavailable.class, sent.get(0).frame());
        sent.clear();
        claimAs("e1", 1, "household", credential);
        assertInstanceOf(ClaimUnavailable.class, sent.get(0).frame());
        assertEquals(1, sent.size());
    }

    @Test
    void aClaimOfATenantThatTheConfigurationDoesNotKnowYetIsNotGrantedAsAnonymous() {
        KeyDigest credential = KeyDigest.of("c");
        claimAs("e1", 1, "", credential);
        commitNext();
        assertEquals(List.of(new Sent("e1", new ClaimGranted(id(1)))), sent);
        sent.clear();
        KeyDigest added = KeyDigest.of("added");
        tenants.put(added, "village");
        claims.onClaim("e1", new ClaimRequest(id(2), OperationIdentity.of("", added, "other")));
        commitNext();
        assertInstanceOf(ClaimUnavailable.class, sent.get(0).frame());
    }

    /** Guards against a second run of an operation that ran before its credential was passed on. */
    @Test
    void aRepeatWithACredentialThatWasPassedOnIsToldOfTheFirstClaim() {
        KeyDigest credential = KeyDigest.of("c");
        tenants.put(credential, "household");
        claimAs("e1", 1, "household", credential);
        commitNext();
        tenants.put(credential, "village");
        sent.clear();
        claimAs("e2", 2, "village", credential);
        claimAs("e3", 3, "household", credential);
        assertEquals(
                List.of(
                        new Sent("e2", new ClaimHeld(id(2), id(1), "e1")),
                        new Sent("e3", new ClaimHeld(id(3), id(1), "e1"))),
                sent);
    }

    /** As at a core without a leader: edges give up long before their batches do. */
    @Test
    void aClaimThatIsReleasedWhileItGathersIsNotReplicated() {
        claim("e1", 1, OTHER_KEY);
        claim("e1", 2, OTHER_KEY);
        claim("e1", 3, KEY);
        release("e1", 3, KEY);
        claim("e2", 4, KEY);
        commitNext();
        assertEquals(
                List.of(
                        new OperationCommand.Release(id(3), KEY),
                        new OperationCommand.Claim(id(4), OperationNames.withoutCredential(KEY), "e2")),
                commitLast().commands());
        assertTrue(sent.contains(new Sent("e1", new ClaimReleased(id(3)))), sent::toString);
        assertTrue(sent.contains(new Sent("e2", new ClaimGranted(id(4)))), sent::toString);
    }

    private OperationBatch commitLast() {
        OperationBatch batch = commitNext();
        return proposals.isEmpty() ? batch : commitLast();
    }

    @Test
    void aClaimThatIsReleasedInABatchLeavesNothing() {
        claim("e1", 1, KEY);
        release("e1", 1, KEY);
        commitNext();
        commitNext();
        assertEquals(List.of(new Sent("e1", new ClaimReleased(id(1)))), sent);
        claim("e2", 2, KEY);
        commitNext();
        assertEquals(new Sent("e2", new ClaimGranted(id(2))), sent.get(1));
    }

    @Test
    void commandsGatherWhileTwoBatchesAreInFlight() {
        for (int i = 0; i < 10; i++) {
            claim("e1", i, OperationKey.of("t", "k" + i));
        }
        assertEquals(2, proposals.size());
        commitNext();
        assertEquals(2, proposals.size());
        commitNext();
        assertEquals(8, commitNext().commands().size());
        assertEquals(10, sent.size());
    }

    @Test
    void aRequestSentAgainIsNotProposedAgainAndIsAnsweredAlike() {
        claim("e1", 1, KEY);
        claim("e1", 1, KEY);
        assertEquals(1, proposals.size());
        commitNext();
        claim("e1", 1, KEY);
        assertEquals(0, proposals.size());
        assertEquals(new Sent("e1", new ClaimGranted(id(1))), sent.get(0));
        assertEquals(new Sent("e1", new ClaimGranted(id(1))), sent.get(1));
    }

    @Test
    void aRejectedAndAnUnknownBatchAreNoGrant() {
        for (ProposalOutcome outcome : List.of(ProposalOutcome.REJECTED, ProposalOutcome.UNKNOWN)) {
            sent.clear();
            claim("e1", 1, KEY);
            fail(outcome);
            assertInstanceOf(ClaimUnavailable.class, sent.get(0).frame());
            assertEquals(1, sent.size());
        }
    }

    @Test
    void anUnknownBatchThatIsAppliedLaterHoldsTheKey() {
        claim("e1", 1, KEY);
        byte[] late = fail(ProposalOutcome.UNKNOWN);
        apply(late);
        sent.clear();
        claim("e2", 2, KEY);
        assertEquals(List.of(new Sent("e2", new ClaimHeld(id(2), id(1), "e1"))), sent);
    }

    @Test
    void aCopyThatIsCommittedAfterTheReleaseHoldsNothing() {
        claim("e1", 1, KEY);
        byte[] late = fail(ProposalOutcome.UNKNOWN);
        release("e1", 1, KEY);
        commitNext();
        apply(late);
        sent.clear();
        claim("e2", 2, KEY);
        commitNext();
        assertEquals(List.of(new Sent("e2", new ClaimGranted(id(2)))), sent);
    }

    @Test
    void aReleasedClaimThatIsAskedForAgainIsUnavailable() {
        release("e1", 1, KEY);
        commitNext();
        assertEquals(List.of(new Sent("e1", new ClaimReleased(id(1)))), sent);
        sent.clear();
        claim("e1", 1, KEY);
        commitNext();
        assertInstanceOf(ClaimUnavailable.class, sent.get(0).frame());
    }

    @Test
    void aReleaseIsAnsweredOnceItIsCommitted() {
        claim("e1", 1, KEY);
        commitNext();
        sent.clear();
        release("e1", 1, KEY);
        assertEquals(List.of(), sent);
        fail(ProposalOutcome.UNKNOWN);
        assertEquals(List.of(), sent);
        release("e1", 1, KEY);
        commitNext();
        assertEquals(List.of(new Sent("e1", new ClaimReleased(id(1)))), sent);
    }

    @Test
    void aWindowThatEndedWhileNothingWasCommittedIsNotHeldAgainstTheNextClaim() {
        claim("e1", 1, KEY);
        commitNext();
        nowMs += WINDOW_MS - 100;
        sent.clear();
        claim("e2", 2, KEY);
        assertEquals(List.of(new Sent("e2", new ClaimHeld(id(2), id(1), "e1"))), sent);
        nowMs += 200;
        sent.clear();
        claim("e2", 3, KEY);
        commitNext();
        assertEquals(List.of(new Sent("e2", new ClaimGranted(id(3)))), sent);
    }

    @Test
    void aMemberWhoseMemoryIsFullForgetsWhatHasExpiredAndTakesClaimsAgain() {
        List<OperationCommand> many = new ArrayList<>();
        for (int i = 0; i < OperationClaims.MAX_REMEMBERED; i++) {
            many.add(new OperationCommand.Claim(
                    id(i), OperationNames.withoutCredential(OperationKey.of("t", "k" + i)), "e1"));
        }
        registry.apply(new OperationBatch(registry.stamp(nowMs), WINDOW_MS, many), nowMs);
        claim("e1", -1, KEY);
        assertInstanceOf(ClaimUnavailable.class, sent.get(0).frame());
        commitNext();
        nowMs += WINDOW_MS + 100;
        claim("e1", -2, KEY);
        commitNext();
        sent.clear();
        claim("e1", -3, KEY);
        commitNext();
        assertEquals(List.of(new Sent("e1", new ClaimGranted(id(-3)))), sent);
    }

    @Test
    void claimsAreRefusedWhereTooManyGatherAndNeverTakeMoreThanTwoProposals() {
        int refused = 0;
        for (int i = 0; i < 10_000; i++) {
            claim("e1", i, OperationKey.of("t", "k" + i));
            assertTrue(proposals.size() <= 2);
        }
        for (Sent one : sent) {
            refused += one.frame() instanceof ClaimUnavailable ? 1 : 0;
        }
        assertEquals(10_000 - 4_096 - 2, refused);
        release("e1", 0, KEY);
        sent.clear();
        while (!proposals.isEmpty()) {
            commitNext();
        }
        assertTrue(sent.contains(new Sent("e1", new ClaimReleased(id(0)))));
    }

    @Test
    void aKeyIsGrantedOnceForEachWindowWhateverBecomesOfProposals() {
        java.util.Random random = new java.util.Random(5);
        List<byte[]> unknown = new ArrayList<>();
        Map<OperationKey, Long> grantedAt = new LinkedHashMap<>();
        int granted = 0;
        long sequence = 0;
        List<OperationKey> keys = List.of(KEY, OTHER_KEY);
        Map<ClaimId, OperationKey> asked = new LinkedHashMap<>();
        for (int i = 0; i < 20_000; i++) {
            nowMs += random.nextInt(200);
            OperationKey key = keys.get(random.nextInt(2));
            asked.put(id(++sequence), key);
            claim("e" + random.nextInt(3), sequence, key);
            if (!proposals.isEmpty()) {
                switch (random.nextInt(4)) {
                    case 0 -> unknown.add(fail(ProposalOutcome.UNKNOWN));
                    case 1 -> fail(ProposalOutcome.REJECTED);
                    default -> commitNext();
                }
            }
            if (!unknown.isEmpty() && random.nextInt(3) == 0) {
                apply(unknown.remove(random.nextInt(unknown.size())));
            }
            for (Sent one : sent) {
                if (one.frame() instanceof ClaimGranted grant) {
                    Long before = grantedAt.put(asked.get(grant.claim()), nowMs);
                    assertTrue(before == null || nowMs - before >= WINDOW_MS - 400, "seed 5 step " + i);
                    granted++;
                }
            }
            sent.clear();
        }
        assertTrue(granted > 30, "granted " + granted);
    }
}
