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
 * written. One thread, that of the event loop.
 */
final class CallSender {
    private static final Logger LOG = LoggerFactory.getLogger(CallSender.class);

    /** Is notified of the reply of each send, exactly once. */
    interface ReplyListener {
        void onReply(PendingMessage pending, int attempt, Host host, CallReply reply);
    }

    private final Clock clock;
    private final Relay.Settings settings;
    private final HostDirectory hosts;
    private final HostTransport transport;
    private final Journal journal;
    private final Function<String, PendingMessage> pendingMessages;
    private final Consumer<String> onSent;
    private final ReplyListener replyListener;
    /** Sends of the turn under way, noted and not yet made. */
    private final Map<Relay.Send, Prepared> preparedSends = new IdentityHashMap<>();

    CallSender(
            Clock clock,
            Relay.Settings settings,
            HostDirectory hosts,
            HostTransport transport,
            Journal journal,
            Function<String, PendingMessage> held,
            Consumer<String> whenSent,
            ReplyListener whenEnded) {
        this.clock = clock;
        this.settings = settings;
        this.hosts = hosts;
        this.transport = transport;
        this.journal = journal;
        this.pendingMessages = held;
        this.onSent = whenSent;
        this.replyListener = whenEnded;
    }

    /** The turn is over. */
    void clear() {
        preparedSends.clear();
    }

    /** A send that is noted in this turn's batch; {@code record} null where it is not to go out. */
    private record Prepared(PendingMessage pending, int attempt, Host host, Journal.Attempt record) {}

    void prepare(Relay.Send send) {
        PendingMessage pending = pendingMessages.apply(send.id());
        Host host = hosts.host(send.endpoint());
        if (pending == null || host == null) {
            return;
        }
        int attempt = pending.calls.size();
        pending.calls.add(null);
        pending.onCallStarted(attempt, host.name);
        onSent.accept(send.id());
        Journal.Attempt note = null;
        try {
            if (!pending.isCompleted && pending.entry != null) {
                note = journal.sent(pending.entry, clock.unixMillis(), host.zone);
            }
        } catch (IOException e) {
            LOG.error("store cannot be written, message {} not sent", send.id(), e);
        }
        preparedSends.put(send, new Prepared(pending, attempt, host, note));
    }

    /** Makes a send, in one call with those to the same endpoint in this turn, as many as its kind takes. */
    void send(Relay.Send send, List<Relay.Action> turn) {
        Prepared prepared = preparedSends.get(send);
        if (prepared == null) {
            return;
        }
        int most = settings.kinds().get(prepared.host().kind).bundle();
        if (most == 1) {
            preparedSends.remove(send);
            if (maySend(prepared)) {
                prepared.pending()
                        .calls
                        .set(
                                prepared.attempt(),
                                transport.call(
                                        prepared.host(),
                                        prepared.pending().message,
                                        send.timeout(),
                                        reply -> replyListener.onReply(
                                                prepared.pending(), prepared.attempt(), prepared.host(), reply)));
            }
            return;
        }
        List<Prepared> together = new ArrayList<>();
        List<HostTransport.Part> parts = new ArrayList<>();
        int taken = 0;
        for (Relay.Action other : turn) {
            if (taken < most
                    && other instanceof Relay.Send candidateSend
                    && candidateSend.endpoint() == send.endpoint()
                    && preparedSends.containsKey(candidateSend)) {
                Prepared candidate = preparedSends.remove(candidateSend);
                taken++;
                if (maySend(candidate)) {
                    together.add(candidate);
                    parts.add(new HostTransport.Part(
                            candidate.pending().message,
                            candidateSend.timeout(),
                            reply -> replyListener.onReply(
                                    candidate.pending(), candidate.attempt(), candidate.host(), reply)));
                }
            }
        }
        if (parts.isEmpty()) {
            return;
        }
        List<HostTransport.Call> calls =
                transport.callBatch(prepared.host(), settings.allowed().hedging() ? parts : withLongestTimeout(parts));
        for (int i = 0; i < calls.size(); i++) {
            Prepared candidate = together.get(i);
            candidate.pending().calls.set(candidate.attempt(), calls.get(i));
        }
    }

    /**
     * Guards installations without second copies: a message given up while its call goes on for others would
     * be a copy when sent again, so all of a call are waited for as long.
     */
    private static List<HostTransport.Part> withLongestTimeout(List<HostTransport.Part> parts) {
        long longest =
                parts.stream().mapToLong(HostTransport.Part::timeoutUs).max().orElse(0);
        return parts.stream()
                .map(part -> new HostTransport.Part(part.message(), longest, part.onReply()))
                .toList();
    }

    /** Ends at once a send that is not to go out: a note whose batch failed says so, it has not run. */
    private boolean maySend(Prepared prepared) {
        PendingMessage pending = prepared.pending();
        if (!pending.isCompleted
                && prepared.record() != null
                && prepared.record().mayHaveRun
                && prepared.host().ready
                && !prepared.host().excluded) {
            return true;
        }
        replyListener.onReply(
                pending,
                prepared.attempt(),
                prepared.host(),
                new CallReply(Relay.Outcome.NOT_SENT, pending.isCompleted, 0, 0, -1, -1));
        return false;
    }
}
