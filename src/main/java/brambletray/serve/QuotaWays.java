package brambletray.serve;

import brambletray.admission.QuotaDoor;
import brambletray.admission.QuotaFile;
import brambletray.control.Relay;
import brambletray.runtime.Machine;
import brambletray.store.Store;
import brambletray.yaml.Faults;
import java.io.IOException;
import java.nio.file.Path;

/** The door of a relay with quotas. Apart, so that no class of them is loaded without. */
final class QuotaWays {
    private QuotaWays() {}

    static void check(Path file) throws Config.Unusable {
        try {
            QuotaFile.read(file);
        } catch (Faults e) {
            throw new Config.Unusable(e.getMessage());
        } catch (IOException e) {
            throw new Config.Unusable("cannot read quotas " + file + ": " + e);
        }
    }

    static QuotaDoor door(Machine machine, Path file, Relay.Settings settings, Store store) {
        try {
            return new QuotaDoor(
                    machine.clock(),
                    store,
                    QuotaFile.read(file),
                    settings.tenants().stream().map(Relay.Tenant::name).toList(),
                    settings.rank(),
                    settings.relays());
        } catch (Faults | IOException e) {
            throw new IllegalStateException("quotas: " + e.getMessage(), e);
        }
    }
}
