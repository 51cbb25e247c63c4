package brambletray.platform.admission;

import brambletray.platform.provisioning.HomeClaim;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/**
 * The takeover of a service by a new home. The coordinator is asked for the instances; requests wait until it answers
 * ({@code instanceListWaitMs} at most, after which the queue acts as one without instances). Edges report the slots
 * they hold; until all have, or {@code heldSlotsWaitMs} have passed, slots are granted only at instances started under
 * this home.
 */
final class QueueTakeover {
    private final AdmissionParameters.Takeover parameters;
    private final String service;
    private final String homeZone;
    private final long startedAtMs;
    private final Set<String> awaited = new HashSet<>();
    private boolean listed;
    private long nextClaimMs;

    QueueTakeover(AdmissionParameters.Takeover parameters, String service, String homeZone, long now) {
        this.parameters = parameters;
        this.service = service;
        this.homeZone = homeZone;
        startedAtMs = now;
        nextClaimMs = now;
    }

    void expect(Collection<String> edges) {
        awaited.addAll(edges);
    }

    void onReported(String edge) {
        awaited.remove(edge);
    }

    void onListed() {
        listed = true;
    }

    boolean isListed() {
        return listed;
    }

    /** Whether the instances are not known yet. */
    boolean isWaitingForList(long now) {
        return !listed && now - startedAtMs < parameters.instanceListWaitMs();
    }

    /** Whether some edges have not reported yet which slots they hold. */
    boolean isWaitingForReports(long now) {
        return !awaited.isEmpty() && now - startedAtMs < parameters.heldSlotsWaitMs();
    }

    /** Maximum time until the list and the reports have arrived, ms. */
    int waitMs(long now) {
        int wait = isWaitingForList(now) ? (int) (startedAtMs + parameters.instanceListWaitMs() - now) : 0;
        return isWaitingForReports(now)
                ? Math.max(wait, (int) (startedAtMs + parameters.heldSlotsWaitMs() - now))
                : wait;
    }

    void tick(AdmissionActions actions, long now) {
        if (!listed && now >= nextClaimMs) {
            nextClaimMs = now + parameters.retryIntervalMs();
            actions.claimHome(new HomeClaim(service, homeZone));
        }
    }

    long nextDueMs(long now) {
        long next = listed ? Long.MAX_VALUE : nextClaimMs;
        if (isWaitingForList(now)) {
            next = Math.min(next, startedAtMs + parameters.instanceListWaitMs());
        }
        return isWaitingForReports(now) ? Math.min(next, startedAtMs + parameters.heldSlotsWaitMs()) : next;
    }
}
