package brambletray.platform.admission;

import brambletray.platform.provisioning.StartRequest;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/**
 * The starts that a seat has asked for and that are not answered yet. A nonce is made once per start and repeated until
 * it is answered, so that whoever carries it out makes one host of it. Bounded by {@code atOnce}.
 */
final class PendingStarts {
    private static final class Wanted {
        final String nonce;
        final long since;
        long next;
        int tries;

        Wanted(String nonce, long since) {
            this.nonce = nonce;
            this.since = since;
        }
    }

    private final AdmissionParameters.Scale law;
    private final String service;
    private final String seat;
    private final StartNonces nonces;
    private final List<Wanted> wanted = new ArrayList<>();
    private long blockedUntil = Long.MIN_VALUE;
    private double bootMs = -1;

    PendingStarts(AdmissionParameters.Scale law, String service, String seat, StartNonces nonces) {
        this.law = law;
        this.service = service;
        this.seat = seat;
        this.nonces = nonces;
    }

    /** How long a start takes here: as measured, as configured until then, ms. */
    int bootMs(ServiceSpec spec) {
        return bootMs < 0 ? Math.max(1, spec.bootMs()) : (int) bootMs;
    }

    void measured(long tookMs, ServiceSpec spec) {
        if (bootMs < 0) {
            bootMs = spec.bootMs();
        }
        double bounded = Math.min(4.0 * Math.max(1, spec.bootMs()), tookMs);
        bootMs += (bounded - bootMs) * 0.1;
    }

    int open() {
        return wanted.size();
    }

    long since(int i) {
        return wanted.get(i).since;
    }

    /** For how long the platform has no room, ms; 0 where it has. */
    int blockedMs(long now) {
        return blockedUntil > now ? (int) Math.min(SlotForecast.NEVER / 2, blockedUntil - now) : 0;
    }

    /** Whether one more may be under way: {@code atOnce}, and two for each host that works. */
    boolean may(int booting, int working, long now) {
        return now >= blockedUntil && wanted.size() + booting < law.atOnce() + 2 * working;
    }

    void ask(int urgency, AdmissionActions out, long now) {
        Wanted one = new Wanted(nonces.next(), now);
        one.next = now + law.againMs();
        wanted.add(one);
        out.need(new StartRequest(service, seat, one.nonce, urgency));
    }

    boolean born(String nonce) {
        return wanted.removeIf(one -> one.nonce.equals(nonce));
    }

    boolean noRoom(String nonce, int comeBackMs, long now) {
        if (!wanted.removeIf(one -> one.nonce.equals(nonce))) {
            return false;
        }
        blockedUntil = now + Math.max(50, comeBackMs);
        return true;
    }

    /** Repeats what is not answered; gives up what has been so for long. */
    void tick(int urgency, AdmissionActions out, long now) {
        for (Iterator<Wanted> each = wanted.iterator(); each.hasNext(); ) {
            Wanted one = each.next();
            if (now - one.since >= law.dropMs()) {
                each.remove();
            } else if (one.next <= now) {
                one.tries++;
                one.next = now + Math.min(4L * law.againMs(), (long) law.againMs() << Math.min(3, one.tries));
                out.need(new StartRequest(service, seat, one.nonce, urgency));
            }
        }
    }

    long nextDue(long now) {
        long next = blockedUntil > now ? blockedUntil : Long.MAX_VALUE;
        for (int i = 0; i < wanted.size(); i++) {
            next = Math.min(next, Math.min(wanted.get(i).next, wanted.get(i).since + law.dropMs()));
        }
        return next;
    }
}
