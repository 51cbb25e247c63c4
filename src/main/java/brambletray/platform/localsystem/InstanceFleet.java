package brambletray.platform.localsystem;

import brambletray.common.runtime.Machine;
import brambletray.platform.configuration.Service;
import brambletray.platform.platformstub.PlatformStub;
import brambletray.platform.settings.Address;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

/**
 * All hosts of the stand-in: follows what the platform has begun and ended, and has each listen from the end of its
 * boot until its end. Until then its address refuses connections. For the loop only.
 */
final class InstanceFleet {
    /** ms between two looks at the platform. */
    private static final int LOOK = 5;

    private final Machine machine;
    private final PlatformStub platformStub;
    private final Map<String, Service> services;
    private final ExecutionLedger ledger;
    private final Random random;
    private final int workMs;
    private final Map<String, InstanceServer> servers = new HashMap<>();
    private int turnedAway;
    private int failures;

    /** {@code workMs}: about what a request takes at a host of ordinary speed. */
    InstanceFleet(
            Machine machine,
            PlatformStub platformStub,
            Map<String, Service> services,
            ExecutionLedger ledger,
            int workMs,
            long seed) {
        this.machine = machine;
        this.platformStub = platformStub;
        this.services = services;
        this.ledger = ledger;
        this.workMs = workMs;
        this.random = new Random(seed);
    }

    void begin() {
        machine.loop().scheduleWithFixedDelay(this::look, LOOK, LOOK, TimeUnit.MILLISECONDS);
    }

    /** Opens and closes what has started and ended since the last look. */
    void look() {
        long now = machine.clock().nanos() / 1_000_000;
        for (Iterator<Map.Entry<String, InstanceServer>> each =
                        servers.entrySet().iterator();
                each.hasNext(); ) {
            Map.Entry<String, InstanceServer> one = each.next();
            if (!platformStub.up(one.getKey(), now)) {
                each.remove();
                one.getValue().stop();
                turnedAway += one.getValue().turnedAway();
            }
        }
        for (Service service : services.values()) {
            for (String id : platformStub.occupying(service.name(), now)) {
                if (!servers.containsKey(id) && platformStub.up(id, now)) {
                    start(id, service);
                }
            }
        }
    }

    private void start(String id, Service service) {
        Address at = Address.parse(platformStub.address(id));
        double pace = 0.8 + 0.4 * random.nextDouble();
        IntSupplier work = () -> (int) (workMs * pace * (0.6 + 0.8 * random.nextDouble()));
        InstanceServer server = new InstanceServer(machine, id, service, ledger, work);
        servers.put(id, server);
        server.open(new InetSocketAddress(at.host(), at.port()))
                .addListener(done -> failures += done.isSuccess() ? 0 : 1);
    }

    /** Hosts that have started and not ended. */
    int up() {
        return servers.size();
    }

    /** Requests that instances rejected for lack of a slot. */
    int turnedAway() {
        int sum = turnedAway;
        for (InstanceServer server : servers.values()) {
            sum += server.turnedAway();
        }
        return sum;
    }

    /** Hosts that could not listen. */
    int failures() {
        return failures;
    }

    void end() {
        new ArrayList<>(servers.values()).forEach(InstanceServer::stop);
        servers.clear();
    }
}
