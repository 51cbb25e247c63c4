package brambletray.relay.serve;

import brambletray.common.runtime.Machine;
import brambletray.common.yaml.Faults;
import brambletray.relay.admission.QuotaDoor;
import brambletray.relay.admission.QuotaFile;
import brambletray.relay.control.Relay;
import brambletray.relay.store.Store;
import java.io.IOException;
import java.nio.file.Path;

/** The door of a relay with quotas. Apart, so that no class of them is loaded without. */
final class QuotaAdmission {
    private QuotaAdmission() {}

    static void check(Path file) throws Config.Unusable {
        try {
            QuotaFile.read(file);
        } catch (Faults faults) {
            throw new Config.Unusable(faults.getMessage());
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
