package brambletray.platform.localsystem;

import brambletray.common.runtime.Machine;
import brambletray.platform.configuration.Configuration;
import brambletray.platform.configuration.Service;
import brambletray.platform.platformstub.PlatformParameters;
import brambletray.platform.platformstub.PlatformStub;
import brambletray.platform.platformstub.PlatformStubServer;
import brambletray.platform.platformstub.ServiceKind;
import brambletray.platform.settings.Address;
import java.net.InetSocketAddress;

/** The platform and its hosts, on the loop of this process. */
final class LocalPlatform {
    private static final long SEED = 11;
    /** MB of one worker; workers in each zone; sigma of boots. */
    private static final int WORKER_MB = 2_048;

    private static final int WORKERS = 2;

    private static final double BOOT_SPREAD = 0.2;
    /** Hosts on a page of the list; ms that one which crashed is still listed. */
    private static final int PAGE = 50;

    private static final int SHOWN_MS = 2_500;

    private final Machine machine;
    private final PlatformStubServer server;
    private final PlatformStub platformStub;
    final InstanceFleet instances;

    /** {@code workMs}: about what a request takes at a host. */
    LocalPlatform(Machine machine, LocalSite site, Configuration configuration, ExecutionLedger ledger, int workMs) {
        this.machine = machine;
        long now = machine.clock().nanos() / 1_000_000;
        platformStub = new PlatformStub(
                new PlatformParameters(
                        LocalSite.LAG_MS,
                        LocalSite.LISTS_PER_S,
                        LocalSite.DUTIES_PER_S,
                        PAGE,
                        LocalSite.DRAIN_MS,
                        LocalSite.HOLD_S * 1_000,
                        SHOWN_MS),
                SEED,
                now,
                site::host);
        for (String zone : LocalSite.ZONES) {
            for (int i = 1; i <= WORKERS; i++) {
                platformStub.worker("w-" + zone + '-' + i, zone, WORKER_MB, now);
            }
        }
        for (Service service : configuration.services().values()) {
            platformStub.service(service.name(), new ServiceKind(service.memoryMb(), service.bootMs(), BOOT_SPREAD));
        }
        server = new PlatformStubServer(machine, platformStub);
        instances = new InstanceFleet(machine, platformStub, configuration.services(), ledger, workMs, SEED);
    }

    /** Throws {@link LocalSystemException} where the platform's address can't be had. */
    void open(Address at) {
        if (!server.open(new InetSocketAddress(at.host(), at.port()))
                .awaitUninterruptibly()
                .isSuccess()) {
            throw new LocalSystemException("no-address", at + " cannot be listened on", null);
        }
        machine.loop().execute(instances::begin);
    }

    /** Starts so far; for the loop. */
    int starts() {
        return platformStub.starts();
    }

    /** Starts and stops refused for the rate so far; for the loop. */
    int refusals() {
        return platformStub.refusals();
    }

    void end() {
        instances.end();
        server.close();
    }
}
