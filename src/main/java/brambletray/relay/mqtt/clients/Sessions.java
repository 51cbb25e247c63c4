package brambletray.relay.mqtt.clients;

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
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * All sessions, and the ids of messages that were taken on lately, in name spaces of the store. What
 * changes is staged and goes with the batch of the pass, so that a message's end and the answer that tells
 * it are noted together.
 */
final class Sessions implements CompletionListener {
    private static final Logger LOG = LoggerFactory.getLogger(Sessions.class);
    static final byte SESSIONS = 2;
    static final byte TAKEN = 3;
    private static final byte SNAPSHOT = 0;
    private static final byte RECEIVED = 1;
    private static final byte RELEASED = 2;
    private static final byte ANSWER = 3;
    private static final byte ANSWERED = 4;
    private static final byte LEFT = 5;
    private static final byte SUBSCRIBED = 6;
    private static final byte UNSUBSCRIBED = 7;
    /** Notes behind a session's snapshot before it is written anew. */
    private static final int NOTES_MOST = 64;

    private static final int REMEMBERED_MOST = 100_000;

    private final Store store;
    private final EventDispatcher loop;
    private final Clock clock;
    private final MqttSettings settings;
    private final Map<String, Session> sessions = new HashMap<>();
    /** Ids taken on lately, the eldest first. */
    private final LinkedHashMap<String, Taken> taken = new LinkedHashMap<>();

    private long nextKey = 1;
    private long nextTaken = 1;
    private long dropped;

    /** Sessions with notes in the batch that is not committed yet. */
    private final Set<Session> staged = new LinkedHashSet<>();

    private record Taken(Chain chain, long until) {}

    Sessions(Store store, EventDispatcher loop, Clock clock, MqttSettings settings) {
        this.store = store;
        this.loop = loop;
        this.clock = clock;
        this.settings = settings;
        for (Chain chain : store.chains(SESSIONS)) {
            nextKey = Math.max(nextKey, chain.key() + 1);
            try {
                Session session = read(chain);
                sessions.put(session.client, session);
            } catch (IOException e) {
                LOG.error("session {} can't be read and is left out: {}", chain.key(), e.toString());
            }
        }
        for (Chain chain : store.chains(TAKEN)) {
            nextTaken = Math.max(nextTaken, chain.key() + 1);
            try {
                DataInputStream in = new DataInputStream(new ByteArrayInputStream(store.read(chain, 0)));
                taken.put(in.readUTF(), new Taken(chain, in.readLong()));
            } catch (IOException e) {
                LOG.error("an id that was taken on can't be read: {}", e.toString());
            }
        }
    }

    // ---- Ids that were taken on -----------------------------------------------------------------
    /** True for the id of a message that was taken on lately: it is answered once, and not taken again. */
    boolean wasTaken(String id) {
        Taken t = taken.get(id);
        return t != null && t.until() > clock.unixMillis();
    }

    /** Remembers an id, in the batch that takes its message on. */
    void take(String id) {
        long now = clock.unixMillis();
        while (!taken.isEmpty()) {
            Map.Entry<String, Taken> eldest = taken.entrySet().iterator().next();
            if (eldest.getValue().until() > now && taken.size() < REMEMBERED_MOST) {
                break;
            }
            store.delete(eldest.getValue().chain());
            taken.remove(eldest.getKey());
        }
        long until = now + settings.rememberMs();
        taken.put(
                id,
                new Taken(
                        store.put(TAKEN, nextTaken++, bytes(out -> {
                            out.writeUTF(id);
                            out.writeLong(until);
                        })),
                        until));
        loop.onStaged();
    }

    /** It was not taken on after all. */
    void untake(String id) {
        Taken t = taken.remove(id);
        if (t != null) {
            store.delete(t.chain());
            loop.onStaged();
        }
    }

    // ---- Sessions -------------------------------------------------------------------------------
    Session find(String client) {
        Session session = sessions.get(client);
        if (session != null && session.expired(clock.unixMillis())) {
            end(session);
            return null;
        }
        return session;
    }

    /** A new session; null where there are too many, or no room for one. */
    Session begin(String client) {
        if (sessions.size() >= settings.sessions()) {
            sweep();
        }
        if (sessions.size() >= settings.sessions() || !store.fits(Store.cost(1_024))) {
            return null;
        }
        Session session = new Session(client, nextKey++);
        sessions.put(client, session);
        snapshot(session);
        return session;
    }

    void end(Session session) {
        sessions.remove(session.client, session);
        if (!session.answers.isEmpty()) {
            LOG.warn(
                    "session of client {} ended with {} answers that it did not fetch",
                    session.client,
                    session.answers.size());
        }
        store.delete(session.chain);
        loop.onStaged();
    }

    /** Ends the sessions whose clients have been away for too long. */
    void sweep() {
        long now = clock.unixMillis();
        for (Session session : List.copyOf(sessions.values())) {
            if (session.expired(now)) {
                end(session);
            }
        }
    }

    int size() {
        return sessions.size();
    }

    void received(Session session, int packet) {
        session.received.add(packet);
        note(session, out -> {
            out.writeByte(RECEIVED);
            out.writeShort(packet);
        });
    }

    void released(Session session, int packet) {
        if (session.received.remove(packet)) {
            note(session, out -> {
                out.writeByte(RELEASED);
                out.writeShort(packet);
            });
        }
    }

    void subscribed(Session session, String filter, int qos) {
        session.filters.put(filter, qos);
        note(session, out -> {
            out.writeByte(SUBSCRIBED);
            out.writeUTF(filter);
            out.writeByte(qos);
        });
    }

    boolean unsubscribed(Session session, String filter) {
        if (session.filters.remove(filter) == null) {
            return false;
        }
        note(session, out -> {
            out.writeByte(UNSUBSCRIBED);
            out.writeUTF(filter);
        });
        return true;
    }

    /** Its client has connected, and said how long the session is to outlast the connection. */
    void connected(Session session) {
        session.leftAt = 0;
        noteLeft(session);
    }

    private void noteLeft(Session session) {
        note(session, out -> {
            out.writeByte(LEFT);
            out.writeLong(session.leftAt);
            out.writeLong(session.expiryMs);
        });
    }

    void left(Session session) {
        session.connected = null;
        session.leftAt = clock.unixMillis();
        if (session.expiryMs == 0) {
            end(session);
            return;
        }
        noteLeft(session);
    }

    void answered(Session session, long number) {
        if (session.answers.remove(number) != null) {
            note(session, out -> {
                out.writeByte(ANSWERED);
                out.writeLong(number);
            });
        }
    }

    // ---- Ends -----------------------------------------------------------------------------------
    @Override
    public void onCompleted(Message message, End end, long retryAfter) {
        Session session = find(message.origin().client());
        if (session == null) {
            return;
        }
        if (session.answers.size() >= settings.answersHeld()) {
            // The bound that the page states; the platform's notice, or the delivery, stands all the same.
            dropped++;
            if (Long.bitCount(dropped) == 1) {
                LOG.warn("client {} does not fetch its answers: {} dropped so far", session.client, dropped);
            }
            return;
        }
        String outcome = end == End.DELIVERED ? "delivered" : end == End.HANDED_BACK ? "handed_back" : "given_up";
        StringBuilder payload = new StringBuilder("{\"message\":\"");
        JsonStringEncoder.getInstance().quoteAsString(message.id(), payload);
        payload.append("\",\"outcome\":\"").append(outcome).append('"');
        if (end == End.HANDED_BACK && retryAfter > 0) {
            payload.append(",\"retry_in_ms\":").append((retryAfter + 999) / 1_000);
        }
        Session.Answer answer = new Session.Answer(
                session.nextAnswer++,
                message.origin().topic(),
                message.origin().correlation(),
                payload.append('}').toString());
        session.answers.put(answer.number(), answer);
        note(session, out -> write(out, answer));
        if (session.connected != null) {
            session.connected.answersWaiting();
        }
    }

    // ---- Records --------------------------------------------------------------------------------
    private interface Fields {
        void write(DataOutputStream out) throws IOException;
    }

    private static byte[] bytes(Fields fields) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            fields.write(new DataOutputStream(bytes));
        } catch (IOException e) {
            throw new IllegalStateException("memory cannot fail to be written", e);
        }
        return bytes.toByteArray();
    }

    @Override
    public void onBatchFailed() {
        List<Session> again = List.copyOf(staged);
        staged.clear();
        for (Session session : again) {
            if (sessions.get(session.client) == session) {
                snapshot(session);
            }
        }
    }

    @Override
    public void onCommitted() {
        if (!store.dirty()) {
            staged.clear();
        }
    }

    private void note(Session session, Fields fields) {
        staged.add(session);
        // As many more as it holds, so that a full session is not written anew at every turn.
        if (++session.notes > NOTES_MOST + 2 * session.size()) {
            snapshot(session);
        } else {
            store.append(session.chain, bytes(fields));
            loop.onStaged();
        }
    }

    private static void write(DataOutputStream out, Session.Answer answer) throws IOException {
        out.writeByte(ANSWER);
        out.writeLong(answer.number());
        out.writeUTF(answer.topic());
        out.writeShort(answer.correlation().length);
        out.write(answer.correlation());
        out.writeUTF(answer.payload());
    }

    /** Writes the session anew as a whole: its chain begins again. */
    private void snapshot(Session session) {
        staged.add(session);
        session.notes = 0;
        session.chain = store.put(SESSIONS, session.key, bytes(out -> {
            out.writeByte(SNAPSHOT);
            out.writeUTF(session.client);
            out.writeLong(session.expiryMs);
            out.writeLong(session.leftAt);
            out.writeLong(session.nextAnswer);
        }));
        List<Fields> notes = new ArrayList<>();
        session.received.forEach(id -> notes.add(out -> {
            out.writeByte(RECEIVED);
            out.writeShort(id);
        }));
        session.filters.forEach((filter, qos) -> notes.add(out -> {
            out.writeByte(SUBSCRIBED);
            out.writeUTF(filter);
            out.writeByte(qos);
        }));
        session.answers.values().forEach(answer -> notes.add(out -> write(out, answer)));
        notes.forEach(fields -> store.append(session.chain, bytes(fields)));
        loop.onStaged();
    }

    private Session read(Chain chain) throws IOException {
        DataInputStream first = new DataInputStream(new ByteArrayInputStream(store.read(chain, 0)));
        if (first.readByte() != SNAPSHOT) {
            throw new IOException("it does not begin with a session");
        }
        Session session = new Session(first.readUTF(), chain.key());
        session.chain = chain;
        session.expiryMs = first.readLong();
        session.leftAt = first.readLong();
        session.nextAnswer = first.readLong();
        for (int i = 1; i < chain.size(); i++) {
            DataInputStream in = new DataInputStream(new ByteArrayInputStream(store.read(chain, i)));
            switch (in.readByte()) {
                case RECEIVED -> session.received.add(in.readUnsignedShort());
                case RELEASED -> session.received.remove(in.readUnsignedShort());
                case SUBSCRIBED -> session.filters.put(in.readUTF(), (int) in.readByte());
                case UNSUBSCRIBED -> session.filters.remove(in.readUTF());
                case ANSWERED -> session.answers.remove(in.readLong());
                case LEFT -> {
                    session.leftAt = in.readLong();
                    session.expiryMs = in.readLong();
                }
                case ANSWER -> {
                    Session.Answer answer = new Session.Answer(
                            in.readLong(), in.readUTF(), in.readNBytes(in.readUnsignedShort()), in.readUTF());
                    session.answers.put(answer.number(), answer);
                    session.nextAnswer = Math.max(session.nextAnswer, answer.number() + 1);
                }
                default -> throw new IOException("unknown note");
            }
        }
        session.perhapsSentBelow = session.nextAnswer;
        if (session.leftAt == 0) {
            // It was connected when the process ended.
            session.leftAt = clock.unixMillis();
        }
        return session;
    }
}
