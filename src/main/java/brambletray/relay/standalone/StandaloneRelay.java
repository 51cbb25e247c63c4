package brambletray.relay.standalone;

import brambletray.common.runtime.Machine;
import brambletray.common.yaml.Faults;
import brambletray.relay.core.AdmissionGate;
import brambletray.relay.core.CompletionListener;
import brambletray.relay.core.EventDispatcher;
import brambletray.relay.core.Platform;
import brambletray.relay.journal.Journal;
import brambletray.relay.membership.HostList;
import brambletray.relay.peers.PeerRecovery;
import brambletray.relay.serve.Config;
import brambletray.relay.serve.RelayInstance;
import brambletray.relay.serve.RelayProcess;
import brambletray.relay.serve.StoreLockedException;
import brambletray.relay.store.Store;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.function.Function;

/** {@code serve --config FILE}: a relay with an inventory and no platform. */
public final class StandaloneRelay implements RelayInstance.Surroundings {
    private final Standalone settings;
    private final Executor reader;
    private Outcomes outcomes;
    private EventDispatcher loop;
    private InventoryPlatform inventories;
    /** Null for a relay without siblings. */
    private PeerRecovery comingBack;

    private StandaloneRelay(Standalone settings, Executor reader) {
        this.settings = settings;
        this.reader = reader;
    }

    /** A thread of its own, made when the first file is read, for files are read off the event loop. */
    private static Executor thread() {
        return Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, "inventory");
            thread.setDaemon(true);
            return thread;
        });
    }

    /** What such a relay runs under, for one that is started otherwise; {@code reader}: reads the files. */
    public static RelayInstance.Surroundings surroundings(Path file, Executor reader) throws Exception {
        return new StandaloneRelay(Standalone.read(file, null), reader);
    }

    /**
     * Serves until the process is told to end; 2 where the file is of no use. {@code inventory}: in the place
     * of the one that the file names, null for none.
     */
    public static int serve(Path file, Path inventory) {
        try {
            StandaloneRelay relay = new StandaloneRelay(Standalone.read(file, inventory), thread());
            return RelayProcess.serve(() -> relay.settings.config(), relay, node -> {});
        } catch (Faults | Config.Unusable e) {
            System.err.println(e.getMessage());
        } catch (IOException e) {
            System.err.println("cannot read " + file + ": " + e);
        }
        return 2;
    }

    /** A relay of the calling process, for those that embed it; it serves when this returns. */
    public static RelayProcess start(Path file) throws Exception {
        StandaloneRelay relay = new StandaloneRelay(Standalone.read(file, null), thread());
        return new RelayProcess(relay.settings.config(), relay);
    }

    @Override
    public void beforeOwning(Machine machine, Journal journal) throws IOException {
        if (settings.siblings() != null) {
            comingBack = new PeerRecovery(
                    machine, settings.siblings(), settings.config().settings());
            String refusal = comingBack.recover(journal);
            if (refusal != null) {
                throw new StoreLockedException(refusal);
            }
        }
    }

    @Override
    public AdmissionGate door(AdmissionGate inner) {
        return comingBack == null ? inner : comingBack.admissionGate(inner, loop);
    }

    @Override
    public Platform platform(Machine machine, HostList hosts, EventDispatcher relay, Store store) {
        this.loop = relay;
        inventories = new InventoryPlatform(machine, settings, hosts, relay, store, reader);
        if (comingBack != null) {
            comingBack.onOwned(store, relay);
        }
        return inventories;
    }

    /** The files are read now; the configuration counts from the next start. */
    @Override
    public void hangup() {
        inventories.readAgain();
    }

    @Override
    public CompletionListener ends(Machine machine, EventDispatcher relay, Store store, CompletionListener mqtt) {
        outcomes = new Outcomes(
                store,
                relay,
                machine.clock(),
                mqtt,
                settings.keepMs(),
                settings.answersMost(),
                settings.postTo() != null);
        if (settings.postTo() != null) {
            new Poster(machine, outcomes, settings.postTo(), settings.postPath()).wake();
        }
        return outcomes;
    }

    @Override
    public Function<String, String> answers() {
        return id -> {
            String ended = outcomes.json(id);
            return ended != null ? ended : loop.isPending(id) ? "{\"outcome\":\"pending\"}" : null;
        };
    }
}
