package brambletray.relay.core;

import brambletray.common.runtime.Clock;
import brambletray.relay.control.Relay;
import brambletray.relay.journal.Journal;
import java.io.IOException;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Makes the sends of a turn: each is noted in the turn's batch first, and goes out only when that has been
 * written. One thread, that of the loop.
 */
final class CallSender {
    private static final Logger LOG = LoggerFactory.getLogger(CallSender.class);

    /** Is told the reply of each send, exactly once. */
    interface WhenEnded {
        void ended(PendingMessage held, int attempt, Host host, CallReply reply);
    }

    private final Clock clock;
    private final Relay.Settings settings;
    private final HostDirectory hosts;
    private final HostTransport pool;
    private final Journal journal;
    private final Function<String, PendingMessage> held;
    private final Consumer<String> whenSent;
    private final WhenEnded whenEnded;
    /** Sends of the turn under way, noted and not yet made. */
    private final Map<Relay.Send, Prepared> prepared = new IdentityHashMap<>();

    CallSender(
            Clock clock,
            Relay.Settings settings,
            HostDirectory hosts,
            HostTransport pool,
            Journal journal,
            Function<String, PendingMessage> held,
            Consumer<String> whenSent,
            WhenEnded whenEnded) {
        this.clock = clock;
        this.settings = settings;
        this.hosts = hosts;
        this.pool = pool;
        this.journal = journal;
        this.held = held;
        this.whenSent = whenSent;
        this.whenEnded = whenEnded;
    }

    /** The turn is over. */
    void clear() {
        prepared.clear();
    }

    /** A send that is noted in this turn's batch; {@code note} null where it is not to go out. */
    private record Prepared(PendingMessage held, int attempt, Host host, Journal.Attempt note) {}

    void prepare(Relay.Send a) {
        PendingMessage h = held.apply(a.id());
        Host host = hosts.host(a.endpoint());
        if (h == null || host == null) {
            return;
        }
        int attempt = h.calls.size();
        h.calls.add(null);
        h.begun(attempt, host.name);
        whenSent.accept(a.id());
        Journal.Attempt note = null;
        try {
            if (!h.over && h.entry != null) {
                note = journal.sent(h.entry, clock.unixMillis(), host.zone);
            }
        } catch (IOException e) {
            LOG.error("store cannot be written, message {} not sent", a.id(), e);
        }
        prepared.put(a, new Prepared(h, attempt, host, note));
    }

    /** Makes a send, in one call with those to the same endpoint in this turn, as many as its kind takes. */
    void send(Relay.Send a, List<Relay.Action> turn) {
        Prepared p = prepared.get(a);
        if (p == null) {
            return;
        }
        int most = settings.kinds().get(p.host().kind).bundle();
        if (most == 1) {
            prepared.remove(a);
            if (goesOut(p)) {
                p.held()
                        .calls
                        .set(
                                p.attempt(),
                                pool.call(
                                        p.host(),
                                        p.held().message,
                                        a.timeout(),
                                        reply -> whenEnded.ended(p.held(), p.attempt(), p.host(), reply)));
            }
            return;
        }
        List<Prepared> together = new ArrayList<>();
        List<HostTransport.Part> parts = new ArrayList<>();
        int taken = 0;
        for (Relay.Action other : turn) {
            if (taken < most
                    && other instanceof Relay.Send b
                    && b.endpoint() == a.endpoint()
                    && prepared.containsKey(b)) {
                Prepared q = prepared.remove(b);
                taken++;
                if (goesOut(q)) {
                    together.add(q);
                    parts.add(new HostTransport.Part(
                            q.held().message,
                            b.timeout(),
                            reply -> whenEnded.ended(q.held(), q.attempt(), q.host(), reply)));
                }
            }
        }
        if (parts.isEmpty()) {
            return;
        }
        List<HostTransport.Call> calls =
                pool.bundle(p.host(), settings.allowed().hedging() ? parts : alike(parts));
        for (int i = 0; i < calls.size(); i++) {
            Prepared q = together.get(i);
            q.held().calls.set(q.attempt(), calls.get(i));
        }
    }

    /**
     * Guards installations without second copies: a message given up while its call goes on for others would
     * be a copy when sent again, so all of a call are waited for as long.
     */
    private static List<HostTransport.Part> alike(List<HostTransport.Part> parts) {
        long longest =
                parts.stream().mapToLong(HostTransport.Part::patience).max().orElse(0);
        return parts.stream()
                .map(p -> new HostTransport.Part(p.message(), longest, p.whenEnded()))
                .toList();
    }

    /** Ends at once a send that is not to go out: a note whose batch failed says so, it has not run. */
    private boolean goesOut(Prepared p) {
        PendingMessage h = p.held();
        if (!h.over && p.note() != null && p.note().mayHaveRun && p.host().ready && !p.host().out) {
            return true;
        }
        whenEnded.ended(h, p.attempt(), p.host(), new CallReply(Relay.Outcome.NOT_SENT, h.over, 0, 0, -1, -1));
        return false;
    }
}
