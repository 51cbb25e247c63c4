package brambletray.platform.controlplane;

import brambletray.common.runtime.Machine;
import brambletray.platform.distribution.ProcessSignals;
import brambletray.platform.logging.EventLog;
import brambletray.platform.settings.Address;
import brambletray.platform.settings.NodeSettings;
import brambletray.platform.storage.KeyValueStore;
import brambletray.platform.storage.StorageException;
import brambletray.platform.storage.SyncWriter;
import brambletray.platform.transport.Sockets;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;

/** Runs a {@link ControlPlaneProgram} as a process: on real sockets, with its disk, its signals and its exit code. */
public final class ControlPlaneProcess {
    private static final EventLog LOG = EventLog.of("controlplane");

    private ControlPlaneProcess() {}

    /**
     * Runs the program until SIGTERM. {@code newIncarnation}, {@code origin}: drawn at random. Throws {@link
     * StorageException} if the disk cannot be used.
     */
    public static void run(NodeSettings nodeSettings, long newIncarnation, long origin) throws InterruptedException {
        Machine machine = Sockets.machine();
        Address control = nodeSettings.require("bind-addresses.control-plane", nodeSettings.controlPlane());
        KeyValueStore keyValueStore = StoreOpener.open(nodeSettings.require("data-dir", nodeSettings.dataDir()));
        Map<String, byte[]> stored = StoreOpener.readAll(keyValueStore);
        ControlPlaneEnvironment environment = new ControlPlaneEnvironment(
                machine, stored, new SyncWriter(keyValueStore, machine.loop()), () -> System.exit(0));
        AtomicReference<ControlPlaneProgram> program = new AtomicReference<>();
        machine.loop()
                .submit(() -> {
                    program.set(new ControlPlaneProgram(nodeSettings, environment, newIncarnation, origin));
                    program.get().start();
                    ProcessSignals.registerProgram(new SignalListener(machine, program.get()));
                })
                .sync();
        program.get().listen().sync();
        LOG.info("started")
                .with("transport", Sockets.transport())
                .with("node", nodeSettings.node())
                .with("control", control)
                .with("stored-keys", stored.size())
                .log();
    }

    private record SignalListener(Machine machine, ControlPlaneProgram program) implements ProcessSignals.Program {
        @Override
        public void terminate() {
            machine.loop().execute(program::leave);
        }

        @Override
        public void reload() {
            machine.loop().execute(program::reloadSettings);
        }
    }
}
