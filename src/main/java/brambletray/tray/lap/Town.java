package brambletray.tray.lap;

import brambletray.runtime.Machine;
import brambletray.tray.berth.Address;
import brambletray.tray.creed.Creed;
import brambletray.tray.creed.Service;
import brambletray.tray.stand.Ground;
import brambletray.tray.stand.Kind;
import brambletray.tray.stand.Stand;
import brambletray.tray.stand.StandDoor;
import java.net.InetSocketAddress;

/** The platform and its hosts, on the loop of this process. */
final class Town {
    private static final long SEED = 11;
    /** MB of one worker; workers in each zone; ms of a request's work; sigma of boots. */
    private static final int WORKER_MB = 2_048;

    private static final int WORKERS = 2;
    private static final int WORK_MS = 60;

    private static final double BOOT_SPREAD = 0.2;
    /** Hosts on a page of the list; ms that one which crashed is still listed. */
    private static final int PAGE = 50;

    private static final int SHOWN_MS = 2_500;

    private final Machine machine;
    private final StandDoor door;
    private final Stand stand;
    final Fair fair;

    Town(Machine machine, Site site, Creed creed, Ledger ledger) {
        this.machine = machine;
        long now = machine.clock().nanos() / 1_000_000;
        stand = new Stand(
                new Ground(
                        Site.LAG_MS,
                        Site.LISTS_PER_S,
                        Site.DUTIES_PER_S,
                        PAGE,
                        Site.DRAIN_MS,
                        Site.HOLD_S * 1_000,
                        SHOWN_MS),
                SEED,
                now,
                site::host);
        for (String zone : Site.ZONES) {
            for (int i = 1; i <= WORKERS; i++) {
                stand.worker("w-" + zone + '-' + i, zone, WORKER_MB, now);
            }
        }
        for (Service service : creed.services().values()) {
            stand.service(service.name(), new Kind(service.memoryMb(), service.bootMs(), BOOT_SPREAD));
        }
        door = new StandDoor(machine, stand);
        fair = new Fair(machine, stand, creed.services(), ledger, WORK_MS, SEED);
    }

    /** Throws {@link LapFault} where the platform's address can't be had. */
    void open(Address at) {
        if (!door.open(new InetSocketAddress(at.host(), at.port()))
                .awaitUninterruptibly()
                .isSuccess()) {
            throw new LapFault("no-address", at + " cannot be listened on", null);
        }
        machine.loop().execute(fair::begin);
    }

    /** Starts so far; for the loop. */
    int starts() {
        return stand.starts();
    }

    /** Starts and stops refused for the rate so far; for the loop. */
    int refusals() {
        return stand.refusals();
    }

    void end() {
        fair.end();
        door.close();
    }
}
