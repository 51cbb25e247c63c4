package brambletray.relay.peers;

import brambletray.common.runtime.Machine;
import brambletray.relay.control.Relay;
import brambletray.relay.core.AdmissionGate;
import brambletray.relay.core.EventDispatcher;
import brambletray.relay.journal.HostKnowledgeJournal;
import brambletray.relay.journal.Journal;
import brambletray.relay.message.Message;
import brambletray.relay.recovery.FolderFinding;
import brambletray.relay.recovery.QuietPeriod;
import brambletray.relay.recovery.StoreFreshness;
import brambletray.relay.store.Chain;
import brambletray.relay.store.Store;
import io.netty.channel.ChannelFuture;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A relay with siblings comes back: whose folder it has, whether that is the newest, and what follows for
 * what is owed and for what is handed in. The life that begins is noted in the folder (name space
 * {@link #SPACE}: name, number, {@link Stage}) before anything is owned; what a life that is killed had begun
 * and not ended is done again by the next.
 */
public final class PeerRecovery {
    static final byte SPACE = 8;

    /** How far coming back has come; by number, as it is noted. */
    private enum Stage {
        SETTLED,
        /** What is owed is being doubted. */
        DOUBTING,
        /** Second tries are turned away. */
        RESTING
    }

    private static final Logger LOG = LoggerFactory.getLogger(PeerRecovery.class);

    private final Machine machine;
    private final PeersFile file;
    private final Relay.Settings settings;
    private PeerLink siblings;
    private QuietPeriod rest = QuietPeriod.NONE;
    private long life;

    public PeerRecovery(Machine machine, PeersFile file, Relay.Settings settings) {
        this.machine = machine;
        this.file = file;
        this.settings = settings;
    }

    /**
     * Asks, and has the journal doubt what may have been done since; not on the loop, which must be free.
     * Null, or one line that says why this process must not serve from this folder.
     */
    public String before(Journal journal) throws IOException {
        Store store = journal.store();
        StoreFreshness own = null;
        Stage former = Stage.SETTLED;
        for (Chain chain : store.chains(SPACE)) {
            DataInputStream in = new DataInputStream(new ByteArrayInputStream(store.read(chain, 0)));
            String owner = in.readUTF();
            if (!owner.equals(file.name())) {
                return "the folder is relay '" + owner + "'s, and this is relay '" + file.name()
                        + "': give each its own folder (docs/recovery.md)";
            }
            own = new StoreFreshness(store.number(), in.readLong(), store.last());
            former = Stage.values()[in.readByte()];
        }
        if (own == null && store.last() > 0) {
            // From before it had siblings.
            own = new StoreFreshness(store.number(), 0, store.last());
        }
        siblings = new PeerLink(machine, file, store);
        try {
            ChannelFuture bound = siblings.listen().await();
            if (!bound.isSuccess()) {
                return "no notes of siblings can come in on " + file.listen() + ": "
                        + bound.cause().getMessage();
            }
            LOG.info("siblings on {}", siblings.address());
            FolderFinding found = siblings.ask(own, longest()).get();
            if (found instanceof FolderFinding.Twin twin) {
                siblings.close();
                return "another process lives as relay '" + file.name() + "', in life "
                        + twin.seen().life() + ": end it first, or give this one a name of its own (docs/recovery.md)";
            }
            tell(found);
            if (QuietPeriod.doubts(found, file.trusting()) || former == Stage.DOUBTING) {
                // Each batch of doubts brings the folder on: killed amid them, it might pass for the newest.
                note(store, own.life(), Stage.DOUBTING);
                store.commit();
                LOG.warn("{} messages that the folder says are owed count as perhaps sent", journal.doubt());
                HostKnowledgeJournal.discard(store);
            }
            rest = QuietPeriod.after(found, file.trusting(), now()).orAgain(former != Stage.SETTLED, now(), longest());
            if (former != Stage.SETTLED) {
                LOG.warn(
                        "the life before was killed while it came back: unsafe and keyed messages are turned"
                                + " away for {} ms",
                        rest.until() - now());
            }
            life = siblings.nextLife();
            note(store, life, rest == QuietPeriod.NONE ? Stage.SETTLED : Stage.RESTING);
            store.commit();
            LOG.info("relay {} begins life {}", file.name(), life);
            return null;
        } catch (InterruptedException e) {
            return "interrupted while siblings were asked";
        } catch (ExecutionException e) {
            return "siblings could not be asked: " + e.getCause();
        }
    }

    private void note(Store store, long number, Stage stage) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeUTF(file.name());
            out.writeLong(number);
            out.writeByte(stage.ordinal());
        } catch (IOException e) {
            throw new IllegalStateException("memory cannot fail to be written", e);
        }
        store.put(SPACE, 0, bytes.toByteArray());
    }

    private static void tell(FolderFinding found) {
        if (found instanceof FolderFinding.First) {
            LOG.info("folder: new, and no sibling has heard of this relay");
        } else if (found instanceof FolderFinding.Continues) {
            LOG.info("folder: the newest that siblings know of");
        } else if (found instanceof FolderFinding.Lost lost) {
            LOG.error(
                    "folder: LOST; it is empty, and siblings saw life {}: unsafe and keyed messages are"
                            + " turned away for {} ms",
                    lost.seen().life(),
                    lost.rest());
        } else if (found instanceof FolderFinding.RolledBack back) {
            LOG.error(
                    "folder: ROLLED BACK; siblings saw life {} up to {}: unsafe and keyed messages are"
                            + " turned away for {} ms; hosts taken out by hand since are in use again: look",
                    back.seen().life(),
                    back.seen().at(),
                    back.rest());
        } else if (found instanceof FolderFinding.Unconfirmed unknown) {
            LOG.warn(
                    "folder: {}, and too few siblings answered to tell whether it is the newest ({} ms)",
                    unknown.empty() ? "empty" : "there",
                    unknown.rest());
        }
    }

    private long now() {
        return machine.clock().micros() / 1_000;
    }

    /** ms; the longest time limit of messages whose second try could do harm. */
    private long longest() {
        return settings.classes().stream()
                        .filter(c -> c.effect() != Relay.Effect.SAFE)
                        .mapToLong(Relay.MessageClass::lifetime)
                        .max()
                        .orElse(0)
                / 1_000;
    }

    /** The relay owns its folder and decides: siblings are told from now on. On the loop. */
    public void live(Store store, EventDispatcher loop) {
        siblings.live(() -> new StoreFreshness(store.number(), life, store.last()), store, loop::onStaged);
        if (rest != QuietPeriod.NONE) {
            machine.loop()
                    .schedule(
                            () -> {
                                // Lost with its batch, it costs the next start a rest.
                                note(store, life, Stage.SETTLED);
                                loop.onStaged();
                                LOG.info("all messages are taken on again");
                            },
                            Math.max(0, rest.until() - now()),
                            TimeUnit.MILLISECONDS);
        }
    }

    /** Who lets messages in while what was forgotten may still be under way. */
    public AdmissionGate door(AdmissionGate inner, EventDispatcher loop) {
        return rest == QuietPeriod.NONE
                ? inner
                : new AdmissionGate() {
                    @Override
                    public Decision admit(Message message) {
                        Relay.MessageClass asked = loop.messageClass(message.messageClass());
                        long closed = rest.closed(now(), asked.effect() == Relay.Effect.SAFE);
                        return closed > 0 ? new Rejected(closed * 1_000, List.of()) : inner.admit(message);
                    }

                    @Override
                    public Decision retry(Message message) {
                        return inner.retry(message);
                    }

                    @Override
                    public void onRecovered(Message message) {
                        inner.onRecovered(message);
                    }

                    @Override
                    public void onSent(String id) {
                        inner.onSent(id);
                    }

                    @Override
                    public void onEnded(String id) {
                        inner.onEnded(id);
                    }
                };
    }
}
