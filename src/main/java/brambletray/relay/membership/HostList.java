package brambletray.relay.membership;

import brambletray.relay.control.Relay;
import brambletray.relay.core.Host;
import brambletray.relay.core.HostDirectory;
import brambletray.relay.wire.Addresses;
import brambletray.relay.wire.Wire;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.zip.CRC32;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The hosts that discovery has named: number, address and standing of each. */
public final class HostList implements HostDirectory {
    private static final Logger LOG = LoggerFactory.getLogger(HostList.class);

    private static final int FORMER_MOST = 10_000;

    private final List<String> zones;
    private final List<String> kinds;
    private final Set<String> protocols;
    private final Map<String, Host> byName = new HashMap<>();
    private final Map<Long, Host> byNumber = new HashMap<>();
    private final Set<Long> destinations = new HashSet<>();
    /** Names of hosts that are forgotten, the oldest first; {@link #FORMER_MOST} at most. */
    private final Set<String> former = new LinkedHashSet<>();

    private long version = -1;

    public HostList(List<String> zones, List<String> kinds) {
        this(zones, kinds, Set.of("http"));
    }

    /** {@code protocols}: those by which this relay can send. */
    public HostList(List<String> zones, List<String> kinds, Set<String> protocols) {
        this.protocols = protocols;
        this.zones = zones;
        this.kinds = kinds;
    }

    @Override
    public long version() {
        return version;
    }

    @Override
    public Host host(long number) {
        return byNumber.get(number);
    }

    @Override
    public Collection<Host> hosts() {
        return byNumber.values();
    }

    @Override
    public Host hostNamed(String name) {
        Host host = byName.get(name);
        if (host == null) {
            host = new Host(number(name), name);
            host.gone = true;
            byName.put(name, host);
            byNumber.put(host.number, host);
        }
        return host;
    }

    @Override
    public int listedCount() {
        return (int) byNumber.values().stream().filter(host -> !host.gone).count();
    }

    @Override
    public void forget(Host host) {
        byName.remove(host.name, host);
        byNumber.remove(host.number, host);
        former.add(host.name);
        if (former.size() > FORMER_MOST) {
            former.remove(former.iterator().next());
        }
    }

    @Override
    public boolean wasListed(String name) {
        return byName.containsKey(name) || former.contains(name);
    }

    @Override
    public boolean hasDestination(long destination) {
        return destinations.contains(destination);
    }

    /** Takes a list or its changes in, and returns what the module is to be told. */
    public Relay.EndpointsListed update(Wire.Fields list) throws Wire.Malformed {
        List<Relay.Endpoint> endpoints = new ArrayList<>();
        List<Wire.Fields> entries = list.objects("hosts");
        boolean whole = list.flag("whole");
        long next = list.whole("seq");
        Set<Host> named = new HashSet<>();
        for (Wire.Fields entry : entries) {
            Relay.Endpoint endpoint = endpoint(entry);
            if (endpoint != null) {
                endpoints.add(endpoint);
                named.add(host(endpoint.id()));
            }
        }
        if (whole) {
            byNumber.values().stream().filter(host -> !named.contains(host)).forEach(host -> {
                host.ready = false;
                host.gone = true;
            });
        }
        version = next;
        return new Relay.EndpointsListed(whole ? Relay.ListKind.FULL : Relay.ListKind.CHANGES, endpoints);
    }

    /** One entry; null, and a line in the log, for one that cannot be used. The others still count. */
    private Relay.Endpoint endpoint(Wire.Fields entry) throws Wire.Malformed {
        String name = entry.text("host");
        Relay.Listing listing = switch (entry.text("health")) {
            case "ready" -> Relay.Listing.READY;
            case "draining" -> Relay.Listing.DRAINING;
            case "gone" -> Relay.Listing.GONE;
            default -> null;
        };
        int zone = zones.indexOf(entry.text("site", ""));
        int kind = kinds.indexOf(entry.text("class", ""));
        Host host = byName.get(name);
        if (listing == Relay.Listing.GONE && host == null) {
            return null;
        }
        if (listing == null || listing != Relay.Listing.GONE && (zone < 0 || kind < 0)) {
            LOG.warn("list entry of host {} left out: site, class or health is not known", name);
            return null;
        }
        String protocol = entry.text("protocol", host == null ? "http" : host.protocol);
        if (listing != Relay.Listing.GONE && !protocols.contains(protocol)) {
            LOG.warn("list entry of host {} left out: this relay does not speak {}", name, protocol);
            return null;
        }
        if (host != null && !host.gone && !protocol.equals(host.protocol)) {
            // Its calls that are out belong to the old protocol's connections.
            LOG.warn("list entry of host {} left out: it is gone first where its protocol changes", name);
            return null;
        }
        host = host == null ? hostNamed(name) : host;
        host.protocol = protocol;
        host.ready = listing == Relay.Listing.READY;
        host.gone = listing == Relay.Listing.GONE;
        if (listing != Relay.Listing.GONE) {
            try {
                host.address = Addresses.parse(entry.text("dial"));
            } catch (Wire.Malformed malformed) {
                LOG.warn("list entry of host {} left out: {}", name, malformed.getMessage());
                host.ready = false;
                listing = Relay.Listing.GONE;
            }
            host.zone = zone;
            host.kind = kind;
            host.destination = entry.whole("block");
            host.weight = entry.number("share", 1);
            destinations.add(host.destination);
        }
        return new Relay.Endpoint(
                host.number,
                Math.max(0, zone),
                Math.max(0, kind),
                entry.whole("block", 0),
                listing,
                entry.number("share", 1));
    }

    /** The list as it is held, for a module that has not been told of it. */
    public Relay.EndpointsListed whole() {
        return new Relay.EndpointsListed(
                Relay.ListKind.FULL,
                byNumber.values().stream()
                        .filter(host -> !host.gone)
                        .map(host -> new Relay.Endpoint(
                                host.number,
                                host.zone,
                                host.kind,
                                host.destination,
                                host.ready ? Relay.Listing.READY : Relay.Listing.DRAINING,
                                host.weight))
                        .toList());
    }

    /**
     * A number below 2^32 that is the same at every relay; of two names that collide the later one is hashed
     * on.
     */
    private long number(String name) {
        CRC32 crc = new CRC32();
        do {
            crc.update(name.getBytes(StandardCharsets.UTF_8));
        } while (byNumber.containsKey(crc.getValue()));
        return crc.getValue();
    }
}
