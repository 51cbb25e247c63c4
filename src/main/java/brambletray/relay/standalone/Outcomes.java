package brambletray.relay.standalone;

import brambletray.common.runtime.Clock;
import brambletray.relay.core.CompletionListener;
import brambletray.relay.core.EventDispatcher;
import brambletray.relay.message.Message;
import brambletray.relay.store.Chain;
import brambletray.relay.store.Store;
import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The final answer of every message, noted in the batch that notes its end, kept for a stated time and in a
 * stated number, and told by id. What a URL is to be told of is kept until it was. One thread.
 */
final class Outcomes implements CompletionListener {
    private static final Logger LOG = LoggerFactory.getLogger(Outcomes.class);
    /** Name space in the store. */
    private static final byte ANSWERS = 4;

    /** One final answer; {@code until}: Unix time, ms. */
    record Outcome(String id, End end, long retryMs, long until) {
        String json() {
            StringBuilder out = new StringBuilder("{\"message\":\"");
            JsonStringEncoder.getInstance().quoteAsString(id, out);
            out.append("\",\"outcome\":\"")
                    .append(end == End.DELIVERED ? "delivered" : end == End.HANDED_BACK ? "handed_back" : "given_up")
                    .append('"');
            if (retryMs > 0) {
                out.append(",\"retry_in_ms\":").append(retryMs);
            }
            return out.append('}').toString();
        }
    }

    private record Kept(Outcome outcome, Chain chain) {}

    private final Store store;
    private final EventDispatcher loop;
    private final Clock clock;
    private final CompletionListener beside;
    private final long keepMs;
    private final int most;
    private final Map<String, Kept> kept = new LinkedHashMap<>();
    /** Ids that the URL has not acknowledged; empty where there is none. */
    private final Set<String> untold = new LinkedHashSet<>();

    private final boolean tells;
    private final Set<String> staged = new LinkedHashSet<>();
    private Runnable whenUntold = () -> {};
    private long next = 1;
    private boolean full;

    /** {@code beside}: who is told the ends of messages with an origin; null for nobody. */
    Outcomes(
            Store store,
            EventDispatcher loop,
            Clock clock,
            CompletionListener beside,
            long keepMs,
            int most,
            boolean tells) {
        this.store = store;
        this.loop = loop;
        this.clock = clock;
        this.beside = beside;
        this.keepMs = keepMs;
        this.most = most;
        this.tells = tells;
        for (Chain chain : store.chains(ANSWERS)) {
            next = Math.max(next, chain.key() + 1);
            try {
                DataInputStream in = new DataInputStream(new ByteArrayInputStream(store.read(chain, 0)));
                Outcome outcome = new Outcome(in.readUTF(), End.values()[in.readByte()], in.readLong(), in.readLong());
                kept.put(outcome.id(), new Kept(outcome, chain));
                if (tells) {
                    // Perhaps told before: the URL hears of it again, which it can tell by the id.
                    untold.add(outcome.id());
                }
            } catch (IOException | ArrayIndexOutOfBoundsException e) {
                LOG.error("an answer in the store can't be read and is left out: {}", e.toString());
            }
        }
    }

    void whenUntold(Runnable told) {
        whenUntold = told;
    }

    /** How a message ended, as JSON; null for one that is not known. */
    String json(String id) {
        Kept found = kept.get(id);
        return found == null || found.outcome.until() < clock.unixMillis() ? null : found.outcome.json();
    }

    /** Answers that the URL has not acknowledged, the eldest first. */
    List<Outcome> untold(int many) {
        List<Outcome> some = new ArrayList<>();
        for (String id : untold) {
            if (some.size() == many) {
                break;
            }
            some.add(kept.get(id).outcome);
        }
        return some;
    }

    boolean hasUntold() {
        return !untold.isEmpty();
    }

    void told(List<Outcome> acknowledged) {
        acknowledged.forEach(outcome -> untold.remove(outcome.id()));
    }

    @Override
    public boolean wantsAll() {
        return true;
    }

    @Override
    public void onCompleted(Message message, End end, long retryAfter) {
        long now = clock.unixMillis();
        makeRoom(now);
        String id = message.id();
        Kept former = kept.remove(id);
        if (former != null) {
            // The id was used again, long after: the last answer counts.
            store.delete(former.chain);
        }
        put(new Outcome(id, end, (retryAfter + 999) / 1_000, now + keepMs));
        if (tells) {
            untold.add(id);
            whenUntold.run();
        }
        if (beside != null && message.origin() != null) {
            beside.onCompleted(message, end, retryAfter);
        }
    }

    private void put(Outcome outcome) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeUTF(outcome.id());
            out.writeByte(outcome.end().ordinal());
            out.writeLong(outcome.retryMs());
            out.writeLong(outcome.until());
        } catch (IOException e) {
            throw new IllegalStateException("memory cannot fail to be written", e);
        }
        kept.put(outcome.id(), new Kept(outcome, store.put(ANSWERS, next++, bytes.toByteArray())));
        staged.add(outcome.id());
        loop.onStaged();
    }

    /** Drops what is kept no longer; beyond the bound the eldest, told or not. */
    private void makeRoom(long now) {
        while (!kept.isEmpty()) {
            Kept eldest = kept.values().iterator().next();
            boolean over = kept.size() >= most;
            if (!over && (eldest.outcome.until() >= now || untold.contains(eldest.outcome.id()))) {
                return;
            }
            if (over && !full) {
                LOG.warn(
                        "{} answers are kept: from now on the eldest go before their time; raise"
                                + " answers.most"
                                + " and disk_mb, or shorten answers.keep_s",
                        most);
                full = true;
            }
            untold.remove(eldest.outcome.id());
            kept.remove(eldest.outcome.id());
            store.delete(eldest.chain);
            loop.onStaged();
        }
    }

    @Override
    public void onBatchFailed() {
        for (String id : List.copyOf(staged)) {
            Kept lost = kept.get(id);
            if (lost != null) {
                put(lost.outcome);
            }
        }
        if (beside != null) {
            beside.onBatchFailed();
        }
    }

    @Override
    public void onCommitted() {
        if (!store.dirty()) {
            staged.clear();
        }
        if (beside != null) {
            beside.onCommitted();
        }
    }
}
