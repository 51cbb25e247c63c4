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
 * Executes the sends of a turn: each is staged in the turn's journal batch first, and is sent only after that batch has
 * been committed. Runs on the event loop's thread.
 */
final class CallSender {
    private static final Logger LOG = LoggerFactory.getLogger(CallSender.class);

    /** Receives the reply of each send, exactly once. */
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
    /** Sends of the current turn that are staged but not yet executed. */
    private final Map<Relay.Send, Prepared> preparedSends = new IdentityHashMap<>();

    CallSender(
            Clock clock,
            Relay.Settings settings,
            HostDirectory hosts,
            HostTransport transport,
            Journal journal,
            Function<String, PendingMessage> pendingMessages,
            Consumer<String> onSent,
            ReplyListener replyListener) {
        this.clock = clock;
        this.settings = settings;
        this.hosts = hosts;
        this.transport = transport;
        this.journal = journal;
        this.pendingMessages = pendingMessages;
        this.onSent = onSent;
        this.replyListener = replyListener;
    }

    /** Drops the prepared sends at the end of a turn. */
    void clear() {
        preparedSends.clear();
    }

    /** A send of the current turn; {@code record}: its journal record, null if it must not be sent. */
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
        Journal.Attempt record = null;
        try {
            if (!pending.isCompleted && pending.entry != null) {
                record = journal.sent(pending.entry, clock.unixMillis(), host.zone);
            }
        } catch (IOException e) {
            LOG.error("store write failed; message {} not sent", send.id(), e);
        }
        preparedSends.put(send, new Prepared(pending, attempt, host, record));
    }

    /** Executes a send, in one call with the turn's other sends to the same endpoint, up to the kind's batch size. */
    void send(Relay.Send send, List<Relay.Action> turn) {
        Prepared prepared = preparedSends.get(send);
        if (prepared == null) {
            return;
        }
        int maxBatch = settings.kinds().get(prepared.host().kind).bundle();
        if (maxBatch == 1) {
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
        List<Prepared> batch = new ArrayList<>();
        List<HostTransport.Part> parts = new ArrayList<>();
        int selected = 0;
        for (Relay.Action other : turn) {
            if (selected < maxBatch
                    && other instanceof Relay.Send candidateSend
                    && candidateSend.endpoint() == send.endpoint()
                    && preparedSends.containsKey(candidateSend)) {
                Prepared candidate = preparedSends.remove(candidateSend);
                selected++;
                if (maySend(candidate)) {
                    batch.add(candidate);
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
            Prepared candidate = batch.get(i);
            candidate.pending().calls.set(candidate.attempt(), calls.get(i));
        }
    }

    /**
     * Gives all messages of a call the longest time-out among them, where duplicates are not allowed: a message that
     * times out while its call continues for others could be sent again and run twice.
     */
    private static List<HostTransport.Part> withLongestTimeout(List<HostTransport.Part> parts) {
        long longest =
                parts.stream().mapToLong(HostTransport.Part::timeoutUs).max().orElse(0);
        return parts.stream()
                .map(part -> new HostTransport.Part(part.message(), longest, part.onReply()))
                .toList();
    }

    /**
     * Checks whether a send may go out and otherwise ends it at once as not sent. A failed commit clears
     * {@link Journal.Attempt#mayHaveRun} of the sends in its batch.
     */
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
