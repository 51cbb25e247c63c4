package brambletray.platform.admission;

import brambletray.platform.provisioning.StartRequest;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/**
 * The instance starts that a service queue has requested and that are not answered yet. Each start has a nonce, which
 * is repeated with every attempt, so that it creates one instance only, whichever coordinator performs it. Bounded by
 * {@code maxConcurrentStarts}.
 */
final class PendingStarts {
    private static final class PendingStart {
        final String nonce;
        final long requestedAtMs;
        long nextAttemptMs;
        int attempts;

        PendingStart(String nonce, long requestedAtMs) {
            this.nonce = nonce;
            this.requestedAtMs = requestedAtMs;
        }
    }

    private final AdmissionParameters.Scaling parameters;
    private final String service;
    private final String homeZone;
    private final StartNonces nonces;
    private final List<PendingStart> pending = new ArrayList<>();
    private long blockedUntilMs = Long.MIN_VALUE;
    private double bootMs = -1;

    PendingStarts(AdmissionParameters.Scaling parameters, String service, String homeZone, StartNonces nonces) {
        this.parameters = parameters;
        this.service = service;
        this.homeZone = homeZone;
        this.nonces = nonces;
    }

    /** Boot time, ms: the measured average, or the configured time until one is measured. */
    int bootMs(ServiceSpec spec) {
        return bootMs < 0 ? Math.max(1, spec.bootMs()) : (int) bootMs;
    }

    void onBootMeasured(long tookMs, ServiceSpec spec) {
        if (bootMs < 0) {
            bootMs = spec.bootMs();
        }
        double bounded = Math.min(4.0 * Math.max(1, spec.bootMs()), tookMs);
        bootMs += (bounded - bootMs) * 0.1;
    }

    int count() {
        return pending.size();
    }

    long requestedAtMs(int i) {
        return pending.get(i).requestedAtMs;
    }

    /** Time for which no start may be requested because the platform refused one, ms; 0: none. */
    int blockedMs(long now) {
        return blockedUntilMs > now ? (int) Math.min(SlotForecast.NEVER / 2, blockedUntilMs - now) : 0;
    }

    /** Whether another start may be requested: {@code maxConcurrentStarts}, plus two for each working instance. */
    boolean mayRequest(int booting, int working, long now) {
        return now >= blockedUntilMs && pending.size() + booting < parameters.maxConcurrentStarts() + 2 * working;
    }

    void request(int urgency, AdmissionActions actions, long now) {
        PendingStart start = new PendingStart(nonces.next(), now);
        start.nextAttemptMs = now + parameters.retryIntervalMs();
        pending.add(start);
        actions.requestStart(new StartRequest(service, homeZone, start.nonce, urgency));
    }

    boolean onStarted(String nonce) {
        return pending.removeIf(start -> start.nonce.equals(nonce));
    }

    boolean onRejected(String nonce, int retryAfterMs, long now) {
        if (!pending.removeIf(start -> start.nonce.equals(nonce))) {
            return false;
        }
        blockedUntilMs = now + Math.max(50, retryAfterMs);
        return true;
    }

    /** Repeats unanswered starts with backoff, and abandons those unanswered for {@code giveUpMs}. */
    void tick(int urgency, AdmissionActions actions, long now) {
        for (Iterator<PendingStart> each = pending.iterator(); each.hasNext(); ) {
            PendingStart start = each.next();
            if (now - start.requestedAtMs >= parameters.giveUpMs()) {
                each.remove();
            } else if (start.nextAttemptMs <= now) {
                start.attempts++;
                start.nextAttemptMs = now
                        + Math.min(
                                4L * parameters.retryIntervalMs(),
                                (long) parameters.retryIntervalMs() << Math.min(3, start.attempts));
                actions.requestStart(new StartRequest(service, homeZone, start.nonce, urgency));
            }
        }
    }

    long nextDueMs(long now) {
        long next = blockedUntilMs > now ? blockedUntilMs : Long.MAX_VALUE;
        for (int i = 0; i < pending.size(); i++) {
            next = Math.min(
                    next, Math.min(pending.get(i).nextAttemptMs, pending.get(i).requestedAtMs + parameters.giveUpMs()));
        }
        return next;
    }
}
