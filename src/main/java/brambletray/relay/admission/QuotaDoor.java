package brambletray.relay.admission;

import brambletray.common.runtime.Clock;
import brambletray.common.yaml.Faults;
import brambletray.relay.core.AdmissionGate;
import brambletray.relay.message.Message;
import brambletray.relay.quota.Member;
import brambletray.relay.quota.Member.Asked;
import brambletray.relay.quota.Member.Dimension;
import brambletray.relay.quota.Quotas;
import brambletray.relay.quota.Verdict;
import brambletray.relay.store.Chain;
import brambletray.relay.store.Store;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.StringWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The door of a relay that has quotas: asks {@link Quotas}, and keeps in the store what has to outlast the
 * process. The use of long windows is staged there before the turn that answers the message, so that it goes
 * in one batch with it.
 */
public final class QuotaDoor implements AdmissionGate {
    private static final Logger LOG = LoggerFactory.getLogger(QuotaDoor.class);
    private static final JsonFactory JSON = new JsonFactory();
    /** Name space in the store. */
    private static final byte USES = 6;
    /** us; longest advice to come again. */
    private static final long AFTER_MOST = 60_000_000;

    private final Clock clock;
    private final Store store;
    private final List<String> tenants;
    private final Quotas quotas;
    private final int rank;
    private final int relays;
    private final Map<String, Chain> kept = new HashMap<>();
    private long keys;

    /** {@code tenants}: names by the numbers that messages carry; {@code rank} of {@code relays}. */
    public QuotaDoor(Clock clock, Store store, Member tree, List<String> tenants, int rank, int relays) {
        this.clock = clock;
        this.store = store;
        this.tenants = List.copyOf(tenants);
        this.rank = rank;
        this.relays = relays;
        quotas = new Quotas(tree.part(rank, relays));
        restore();
    }

    private Asked asked(Message message) {
        String tenant = message.tenant() < tenants.size() ? tenants.get(message.tenant()) : null;
        return new Asked(
                message.id(),
                tenant,
                message.messageClass(),
                message.destination(),
                message.body().length());
    }

    @Override
    public Decision admit(Message message) {
        return entry(quotas.ask(clock.micros(), asked(message)));
    }

    @Override
    public Decision retry(Message message) {
        return entry(quotas.again(clock.micros(), message.id()));
    }

    private Decision entry(Verdict verdict) {
        if (verdict instanceof Verdict.Refused refused) {
            return new Rejected(refused.after() > AFTER_MOST ? 0 : refused.after(), refused.recall());
        } else if (verdict instanceof Verdict.Waits waits) {
            return new Deferred(waits.after());
        }
        for (String path : quotas.noteDue()) {
            note(path);
        }
        return AdmissionGate.ADMITTED;
    }

    @Override
    public void onRecovered(Message message) {
        quotas.recovered(asked(message));
    }

    @Override
    public void onSent(String id) {
        quotas.sent(id);
    }

    @Override
    public void onEnded(String id) {
        quotas.ended(id);
    }

    /** Another file counts from now on, if it can be read; what was used is kept. */
    public void reload(Path file) {
        try {
            quotas.reload(clock.micros(), QuotaFile.read(file).part(rank, relays));
            LOG.info("quotas of {} count from now on", file);
        } catch (Faults | IOException | IllegalArgumentException e) {
            LOG.warn("quotas stay as they were: {}", e.getMessage());
        }
    }

    // ---- What lasts -----------------------------------------------------------------------------
    private void note(String path) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeUTF(path);
            List<Quotas.Use> uses = quotas.note(clock.micros(), path);
            out.writeInt(uses.size());
            for (Quotas.Use use : uses) {
                out.writeByte(use.dimension().ordinal());
                out.writeLong(use.window());
                out.writeInt(use.uses().length);
                for (int i = 0; i < use.uses().length; i += 2) {
                    out.writeLong(unix(use.uses()[i]));
                    out.writeLong(use.uses()[i + 1]);
                }
            }
        } catch (IOException e) {
            throw new IllegalStateException("an array cannot fail to be written", e);
        }
        if (!store.fits(Store.cost(bytes.size()))) {
            LOG.warn("the use of quota {} is not kept: the store is full; raise disk_mb", path);
            return;
        }
        Chain former = kept.get(path);
        kept.put(path, store.put(USES, ++keys, bytes.toByteArray()));
        if (former != null) {
            store.delete(former);
        }
    }

    /** Module time to Unix time, both in us. */
    private long unix(long micros) {
        return clock.unixMillis() * 1_000 + micros - clock.micros();
    }

    private void restore() {
        for (Chain chain : store.chains(USES)) {
            keys = Math.max(keys, chain.key());
            try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(store.read(chain, 0)))) {
                String path = in.readUTF();
                List<Quotas.Use> uses = new ArrayList<>();
                for (int left = in.readInt(); left > 0; left--) {
                    Dimension dimension = Dimension.values()[in.readByte()];
                    long window = in.readLong();
                    long[] all = new long[in.readInt()];
                    for (int i = 0; i < all.length; i += 2) {
                        all[i] = in.readLong() - clock.unixMillis() * 1_000 + clock.micros();
                        all[i + 1] = in.readLong();
                    }
                    uses.add(new Quotas.Use(dimension, window, all));
                }
                quotas.restore(clock.micros(), path, uses);
                Chain older = kept.put(path, chain);
                if (older != null) {
                    store.delete(older);
                }
            } catch (IOException | RuntimeException e) {
                LOG.warn(
                        "the use of a quota before the restart can't be read, it counts from now on: {}", e.toString());
            }
        }
    }

    // ---- Looking --------------------------------------------------------------------------------
    /** How each member stands, as JSON: the live view. */
    public String view() {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = JSON.createGenerator(text)) {
            out.writeStartArray();
            List<Quotas.Standing> messages = quotas.standing(clock.micros(), Dimension.MESSAGES);
            List<Quotas.Standing> bytes = quotas.standing(clock.micros(), Dimension.BYTES);
            for (int i = 0; i < messages.size(); i++) {
                out.writeStartObject();
                out.writeStringField("path", messages.get(i).path());
                out.writeNumberField("held", messages.get(i).held());
                dimension(out, "messages", messages.get(i));
                dimension(out, "bytes", bytes.get(i));
                out.writeEndObject();
            }
            out.writeEndArray();
        } catch (IOException e) {
            throw new IllegalStateException("a string cannot fail to be written", e);
        }
        return text.toString();
    }

    private static void dimension(JsonGenerator out, String name, Quotas.Standing standing) throws IOException {
        out.writeObjectFieldStart(name);
        out.writeNumberField("used", standing.used());
        out.writeNumberField("guaranteed", standing.share());
        out.writeNumberField("borrowed", standing.borrowed());
        out.writeNumberField("lent", standing.lent());
        out.writeNumberField("wished", standing.wished());
        out.writeNumberField("used_in_all", standing.usedInAll());
        out.writeNumberField("borrowed_in_all", standing.borrowedInAll());
        out.writeNumberField("refused_in_all", standing.refusedInAll());
        out.writeEndObject();
    }
}
