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
 * A relay with peers recovers: whose folder it has, whether that is the newest, and what follows for
 * what is owed and for what is submitted. The incarnation that begins is recorded in the folder (name space
 * {@link #SPACE}: name, number, {@link Stage}) before anything is owned; what an incarnation that is killed had begun
 * and not ended is done again by the next.
 */
public final class PeerRecovery {
    static final byte SPACE = 8;

    /** How far recovery has come; by number, as it is recorded. */
    private enum Stage {
        SETTLED,
        /** What is owed is being marked as perhaps sent. */
        DOUBTING,
        /** Repeated messages are rejected. */
        QUIET
    }

    private static final Logger LOG = LoggerFactory.getLogger(PeerRecovery.class);

    private final Machine machine;
    private final PeersFile file;
    private final Relay.Settings settings;
    private PeerLink peerLink;
    private QuietPeriod quietPeriod = QuietPeriod.NONE;
    private long incarnation;

    public PeerRecovery(Machine machine, PeersFile file, Relay.Settings settings) {
        this.machine = machine;
        this.file = file;
        this.settings = settings;
    }

    /**
     * Asks the peers, and marks in the journal what may have been done since; not on the loop, which must be free.
     * Null, or one line that says why this process must not serve from this folder.
     */
    public String recover(Journal journal) throws IOException {
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
            // From before it had peers.
            own = new StoreFreshness(store.number(), 0, store.last());
        }
        peerLink = new PeerLink(machine, file, store);
        try {
            ChannelFuture bound = peerLink.listen().await();
            if (!bound.isSuccess()) {
                return "no notes of siblings can come in on " + file.listen() + ": "
                        + bound.cause().getMessage();
            }
            LOG.info("siblings on {}", peerLink.address());
            FolderFinding finding =
                    peerLink.inquire(own, maxMessageLifetimeMs()).get();
            if (finding instanceof FolderFinding.DuplicateProcess duplicate) {
                peerLink.close();
                return "another process lives as relay '" + file.name() + "', in life "
                        + duplicate.newest().incarnation()
                        + ": end it first, or give this one a name of its own (docs/recovery.md)";
            }
            logFinding(finding);
            if (QuietPeriod.makesOwedUncertain(finding, file.trustsUnconfirmed()) || former == Stage.DOUBTING) {
                // Each batch of marks advances the folder: killed amid them, it might pass for the newest.
                recordStage(store, own.incarnation(), Stage.DOUBTING);
                store.commit();
                LOG.warn("{} messages that the folder says are owed count as perhaps sent", journal.doubt());
                HostKnowledgeJournal.discard(store);
            }
            quietPeriod = QuietPeriod.requiredBy(finding, file.trustsUnconfirmed(), nowMs())
                    .orRestarted(former != Stage.SETTLED, nowMs(), maxMessageLifetimeMs());
            if (former != Stage.SETTLED) {
                LOG.warn(
                        "the life before was killed while it came back: unsafe and keyed messages are turned"
                                + " away for {} ms",
                        quietPeriod.untilMs() - nowMs());
            }
            incarnation = peerLink.nextIncarnation();
            recordStage(store, incarnation, quietPeriod == QuietPeriod.NONE ? Stage.SETTLED : Stage.QUIET);
            store.commit();
            LOG.info("relay {} begins life {}", file.name(), incarnation);
            return null;
        } catch (InterruptedException e) {
            return "interrupted while siblings were asked";
        } catch (ExecutionException e) {
            return "siblings could not be asked: " + e.getCause();
        }
    }

    private void recordStage(Store store, long number, Stage stage) {
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

    private static void logFinding(FolderFinding finding) {
        if (finding instanceof FolderFinding.NewRelay) {
            LOG.info("folder: new, and no sibling has heard of this relay");
        } else if (finding instanceof FolderFinding.Current) {
            LOG.info("folder: the newest that siblings know of");
        } else if (finding instanceof FolderFinding.Lost lost) {
            LOG.error(
                    "folder: LOST; it is empty, and siblings saw life {}: unsafe and keyed messages are"
                            + " turned away for {} ms",
                    lost.newest().incarnation(),
                    lost.quietPeriodMs());
        } else if (finding instanceof FolderFinding.RolledBack back) {
            LOG.error(
                    "folder: ROLLED BACK; siblings saw life {} up to {}: unsafe and keyed messages are"
                            + " turned away for {} ms; hosts taken out by hand since are in use again: look",
                    back.newest().incarnation(),
                    back.newest().batch(),
                    back.quietPeriodMs());
        } else if (finding instanceof FolderFinding.Unconfirmed unknown) {
            LOG.warn(
                    "folder: {}, and too few siblings answered to tell whether it is the newest ({} ms)",
                    unknown.isEmpty() ? "empty" : "there",
                    unknown.quietPeriodMs());
        }
    }

    private long nowMs() {
        return machine.clock().micros() / 1_000;
    }

    /** ms; the longest time limit of messages whose second attempt could do harm. */
    private long maxMessageLifetimeMs() {
        return settings.classes().stream()
                        .filter(messageClass -> messageClass.effect() != Relay.Effect.SAFE)
                        .mapToLong(Relay.MessageClass::lifetime)
                        .max()
                        .orElse(0)
                / 1_000;
    }

    /** The relay owns its folder and decides: peers are notified from now on. On the loop. */
    public void onOwned(Store store, EventDispatcher dispatcher) {
        peerLink.startHeartbeats(
                () -> new StoreFreshness(store.number(), incarnation, store.last()), store, dispatcher::onStaged);
        if (quietPeriod != QuietPeriod.NONE) {
            machine.loop()
                    .schedule(
                            () -> {
                                // Lost with its batch, it costs the next start a quiet period.
                                recordStage(store, incarnation, Stage.SETTLED);
                                dispatcher.onStaged();
                                LOG.info("all messages are taken on again");
                            },
                            Math.max(0, quietPeriod.untilMs() - nowMs()),
                            TimeUnit.MILLISECONDS);
        }
    }

    /** Admits messages while what was forgotten may still be under way. */
    public AdmissionGate admissionGate(AdmissionGate inner, EventDispatcher dispatcher) {
        return quietPeriod == QuietPeriod.NONE
                ? inner
                : new AdmissionGate() {
                    @Override
                    public Decision admit(Message message) {
                        Relay.MessageClass asked = dispatcher.messageClass(message.messageClass());
                        long closed = quietPeriod.retryAfterMs(nowMs(), asked.effect() == Relay.Effect.SAFE);
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
