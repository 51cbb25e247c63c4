package brambletray.relay.standalone;

import brambletray.common.runtime.Machine;
import brambletray.relay.inventory.Entry;
import brambletray.relay.inventory.Revision;
import brambletray.relay.membership.Watch;
import brambletray.relay.wire.Addresses;
import brambletray.relay.wire.Wire;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A discovery agent as one of several sources: its lists and changes as whole revisions. What it told last
 * holds while it is silent. On the loop.
 */
final class AgentSource implements Watch.Taker {
    /** By which the reconciler and the log know it. */
    static final String NAME = "agent";

    private static final Logger LOG = LoggerFactory.getLogger(AgentSource.class);
    /** As in files: the relay learns what such a host takes. */
    private static final double RATE = 10;

    private final Watch watch;
    private final Consumer<Revision> whenTold;
    private final Map<String, Entry> held = new LinkedHashMap<>();
    private long version = -1;

    AgentSource(Machine machine, InetSocketAddress agent, Consumer<Revision> whenTold) {
        this.whenTold = whenTold;
        this.watch = new Watch(machine, agent, this);
    }

    void begin() {
        watch.begin();
    }

    @Override
    public long version() {
        return version;
    }

    /** All of a list is checked before any of it counts; single entries of no use are left out. */
    @Override
    public void take(Wire.Fields list) throws Wire.Malformed {
        Map<String, Entry> next = list.flag("whole") ? new LinkedHashMap<>() : new LinkedHashMap<>(held);
        long told = list.whole("seq");
        for (Wire.Fields host : list.objects("hosts")) {
            String name = host.text("host");
            String health = host.text("health");
            if (health.equals("gone")) {
                next.remove(name);
            } else {
                Entry entry = entry(name, health, host);
                if (entry != null) {
                    next.put(name, entry);
                }
            }
        }
        Set<String> places = new HashSet<>();
        next.values().removeIf(entry -> {
            boolean again = !places.add(entry.address() + " " + entry.port());
            if (again) {
                LOG.warn("the agent's entry of host {} left out: another host has its address", entry.name());
            }
            return again;
        });
        held.clear();
        held.putAll(next);
        version = told;
        whenTold.accept(new Revision(held));
    }

    private static Entry entry(String name, String health, Wire.Fields host) throws Wire.Malformed {
        if (!name.matches(Entry.NAME) || !health.equals("ready") && !health.equals("draining")) {
            LOG.warn("the agent's entry of host {} left out: name or health can't be used", name);
            return null;
        }
        try {
            InetSocketAddress dial = Addresses.parse(host.text("dial"));
            double rate = host.number("share", RATE);
            return new Entry(
                    name,
                    dial.getAddress().getHostAddress(),
                    dial.getPort(),
                    host.text("protocol", "http"),
                    host.whole("block"),
                    host.text("site", ""),
                    host.text("class", ""),
                    rate > 0 ? rate : RATE,
                    health.equals("ready") ? Entry.State.READY : Entry.State.DRAINING);
        } catch (Wire.Malformed malformed) {
            LOG.warn("the agent's entry of host {} left out: {}", name, malformed.getMessage());
            return null;
        }
    }
}
