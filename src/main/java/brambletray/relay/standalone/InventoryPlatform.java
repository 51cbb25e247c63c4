package brambletray.relay.standalone;

import brambletray.common.runtime.Machine;
import brambletray.common.yaml.Faults;
import brambletray.relay.core.EventDispatcher;
import brambletray.relay.core.Platform;
import brambletray.relay.inventory.Entry;
import brambletray.relay.inventory.Follower;
import brambletray.relay.inventory.Inventory;
import brambletray.relay.inventory.Reconciler;
import brambletray.relay.journal.Journal;
import brambletray.relay.membership.HostList;
import brambletray.relay.store.Chain;
import brambletray.relay.store.Store;
import brambletray.relay.wire.Wire;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The list of hosts from inventory files, and from a discovery agent where one is configured, in the
 * platform's place. What each source told last is kept in the store: a relay that starts on a file of no use,
 * or without the agent, goes on with that, and says so.
 */
final class InventoryPlatform implements Platform {
    private static final Logger LOG = LoggerFactory.getLogger(InventoryPlatform.class);
    private static final JsonFactory JSON = new JsonFactory();
    /** Name space in the store; the key in it is the source's place among all, from 1. */
    private static final byte LAST_GOOD = 5;
    /** First line of what is kept of a source. */
    private static final String SOURCE = "# source: ";
    /** Hosts that are taken in in one turn of the loop; bench/inventory tells what that takes. */
    static final int SLICE = 100;

    private final Standalone settings;
    private final HostList hosts;
    private final EventDispatcher loop;
    private final Store store;
    private final Executor onLoop;
    private final Executor reader;
    private final Reconciler reconciler;
    /** Names of the sources, the one that counts most first. */
    private final List<String> sources = new ArrayList<>();

    private final List<Follower> followers = new ArrayList<>();
    private final AgentSource agent;
    private long version;

    InventoryPlatform(
            Machine machine, Standalone settings, HostList hosts, EventDispatcher loop, Store store, Executor reader) {
        this.settings = settings;
        this.hosts = hosts;
        this.loop = loop;
        this.store = store;
        this.onLoop = machine.loop();
        this.reader = reader;
        for (Path file : settings.inventories()) {
            String name = file.toString();
            sources.add(name);
            followers.add(new Follower(
                    machine,
                    file,
                    settings.pollMs(),
                    settings.settleMs(),
                    settings.events(),
                    reader,
                    parsed -> offer(name, parsed, onLoop)));
        }
        if (settings.agent() == null) {
            agent = null;
        } else {
            sources.add(AgentSource.NAME);
            agent = new AgentSource(
                    machine,
                    settings.agent(),
                    revision -> reader.execute(
                            () -> offer(AgentSource.NAME, new Inventory.Parsed(revision, true), onLoop)));
        }
        this.reconciler = new Reconciler(settings.removeMost(), sources);
    }

    /**
     * Takes up what each source told last, then what its file holds now. One of them must be of use, unless
     * there is an agent, which may answer later.
     */
    @Override
    public void watch() {
        Set<String> former = lastGood();
        List<String> faults = new ArrayList<>();
        List<Boolean> read = new ArrayList<>();
        for (Path file : settings.inventories()) {
            String name = file.toString();
            try {
                offer(name, Inventory.read(file), Runnable::run);
                read.add(true);
            } catch (Faults | IOException e) {
                read.add(false);
                faults.add(e instanceof Faults ? e.getMessage() : e.toString());
                LOG.warn(
                        "the inventory {} is of no use, {}: {}",
                        name,
                        former.contains(name) ? "its last good version is served" : "and no good version of it is kept",
                        e.getMessage());
            }
        }
        if (reconciler.held().hosts().isEmpty() && agent == null) {
            throw new IllegalStateException("no inventory: " + String.join("; ", faults));
        }
        for (int i = 0; i < followers.size(); i++) {
            followers.get(i).begin(read.get(i));
        }
        if (agent != null) {
            agent.begin();
        }
    }

    /** Reads all files once more, now: nothing of it is lost where a file is being edited. */
    void readAgain() {
        followers.forEach(Follower::readAgain);
    }

    /** The sources of which a last good version was kept and is served. */
    private Set<String> lastGood() {
        Set<String> known = new HashSet<>();
        for (Chain chain : store.chains(LAST_GOOD)) {
            try {
                byte[] text = store.read(chain, 0);
                String head = new String(text, StandardCharsets.UTF_8)
                        .lines()
                        .findFirst()
                        .orElse("");
                // A store from before there were several sources names none: it was that of the one file.
                String name = head.startsWith(SOURCE) ? head.substring(SOURCE.length()) : sources.get(0);
                if (!sources.contains(name) || !known.add(name)) {
                    continue;
                }
                Inventory.Parsed kept = Inventory.parse("last-good.csv", text);
                if (reconciler.offer(name, kept.revision(), kept.sealed()) instanceof Reconciler.Taken taken) {
                    slices(taken).forEach(this::listed);
                }
            } catch (Faults | IOException e) {
                LOG.error("a last good inventory in the store can't be read: {}", e.getMessage());
            }
        }
        return known;
    }

    /**
     * On the loop at the start, then on the reader's thread only: comparing 100,000 hosts takes longer than
     * the loop may pause. {@code on}: the loop.
     */
    private void offer(String source, Inventory.Parsed parsed, Executor on) {
        Reconciler.Verdict verdict = reconciler.offer(source, parsed.revision(), parsed.sealed());
        if (verdict instanceof Reconciler.HeldBack held) {
            LOG.warn(
                    "the inventory {} is held back: {}; if it is meant as it stands, end it with the line"
                            + " '# end of inventory: {} hosts'",
                    source,
                    held.unsealed()
                            ? "its last line does not seal it, as the one before did"
                            : "it takes "
                                    + (held.change().removed().size()
                                            + held.change().drained().size())
                                    + " hosts away, and an edit may take " + held.most(),
                    parsed.revision().hosts().size());
        } else if (verdict instanceof Reconciler.Taken taken) {
            LOG.info(
                    "inventory {}: {} hosts in all, {} new, {} gone, {} moved, {} draining, {} altered",
                    source,
                    taken.hosts().size(),
                    taken.change().added().size(),
                    taken.change().removed().size(),
                    taken.change().moved().size(),
                    taken.change().drained().size(),
                    taken.change().altered().size());
            byte[] text = (SOURCE + source + "\n" + Inventory.write(taken.revision(), true, taken.sealed()))
                    .getBytes(StandardCharsets.UTF_8);
            for (Wire.Fields slice : slices(taken)) {
                // A turn of its own for each: messages are served in between.
                on.execute(() -> listed(slice));
            }
            on.execute(() -> keep(1 + sources.indexOf(source), text));
        }
    }

    private void listed(Wire.Fields slice) {
        try {
            loop.onListed(hosts.update(slice));
        } catch (Wire.Malformed malformed) {
            throw new IllegalStateException("a list of the relay's own can be read", malformed);
        }
    }

    private void keep(long key, byte[] text) {
        if (store.fits(Store.cost(text.length))) {
            store.put(LAST_GOOD, key, text);
            loop.onStaged();
        } else {
            LOG.warn(
                    "the inventory of {} bytes does not fit into the store beside the messages: after a"
                            + " restart on a bad file the version before it counts; raise disk_mb",
                    text.length);
        }
    }

    /**
     * What has changed, in lists of a bounded length; those that are to get nothing new come first. The first
     * of all is one whole list, before the relay serves.
     */
    private List<Wire.Fields> slices(Reconciler.Taken taken) {
        if (version == 0 && !taken.hosts().isEmpty()) {
            return List.of(decoded(taken.hosts(), true));
        }
        List<String> ready = new ArrayList<>();
        List<String> order = new ArrayList<>(taken.gone());
        for (String key : taken.changed()) {
            (taken.hosts().get(key).state() == Entry.State.READY ? ready : order).add(key);
        }
        order.addAll(ready);
        List<Wire.Fields> slices = new ArrayList<>();
        for (int from = 0; from < order.size(); from += SLICE) {
            Map<String, Entry> slice = new LinkedHashMap<>();
            order.subList(from, Math.min(order.size(), from + SLICE))
                    .forEach(key -> slice.put(key, taken.hosts().get(key)));
            slices.add(decoded(slice, false));
        }
        return slices;
    }

    private Wire.Fields decoded(Map<String, Entry> entries, boolean whole) {
        try {
            return Wire.decode(list(entries, whole));
        } catch (Wire.Malformed malformed) {
            throw new IllegalStateException("a list of the relay's own can be read", malformed);
        }
    }

    /** A list; a key without an entry is gone. */
    private String list(Map<String, Entry> entries, boolean whole) {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = JSON.createGenerator(text)) {
            out.writeStartObject();
            out.writeNumberField("seq", ++version);
            out.writeBooleanField("whole", whole);
            out.writeArrayFieldStart("hosts");
            for (Map.Entry<String, Entry> e : entries.entrySet()) {
                Entry host = e.getValue();
                out.writeStartObject();
                out.writeStringField("host", e.getKey());
                if (host == null) {
                    out.writeStringField("health", "gone");
                    out.writeEndObject();
                    continue;
                }
                String address = host.address().contains(":") ? "[" + host.address() + "]" : host.address();
                out.writeStringField("dial", address + ":" + host.port());
                out.writeStringField("protocol", host.protocol());
                out.writeStringField("site", known(host.zone(), settings.zones()));
                out.writeStringField("class", known(host.kind(), settings.kinds()));
                out.writeNumberField("block", host.destination());
                out.writeStringField("health", host.state() == Entry.State.READY ? "ready" : "draining");
                out.writeNumberField("share", host.rate());
                out.writeEndObject();
            }
            out.writeEndArray();
            out.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException("a string cannot fail to be written", e);
        }
        return text.toString();
    }

    /** A zone or kind that is not given, or not known to this relay, counts as the first. */
    private static String known(String name, List<String> all) {
        return all.contains(name) ? name : all.get(0);
    }

    /** Ends are noted and told by {@link Outcomes}, in the batch of the end itself. */
    @Override
    public void postNotice(Journal.Entry entry) {
        loop.onNoticeAcknowledged(entry);
    }

    @Override
    public boolean hasUnacknowledgedNotices() {
        return false;
    }

    @Override
    public void onAgentAddressChanged(InetSocketAddress agent) {
        throw new IllegalStateException("there is no agent");
    }
}
