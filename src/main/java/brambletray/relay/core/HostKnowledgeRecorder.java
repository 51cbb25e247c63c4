package brambletray.relay.core;

import brambletray.common.runtime.Clock;
import brambletray.relay.control.Control;
import brambletray.relay.control.Relay;
import brambletray.relay.journal.HostKnowledgeJournal;
import brambletray.relay.recovery.HostKnowledge;
import brambletray.relay.recovery.HostStateCache;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Brings what the module knows of hosts over the end of the process: told waits in the batch of the turn that
 * heard them, the rest when it is looked at. One thread, that of the loop.
 */
final class HostKnowledgeRecorder {
    /** Hosts that are gone of which that is still known. */
    private static final int GONE_MOST = 64;

    private final Clock clock;
    private final Control control;
    private final HostDirectory hosts;
    private final HostKnowledgeJournal notes;
    private final HostStateCache recollection = new HostStateCache();
    private final long cold;
    /** Hosts of earlier lives that no list has named yet; of those known, what is believed is told once. */
    private final Set<String> untold = new HashSet<>();
    /** Hosts that no list of this life's platform has spoken of, and that had left when it last did. */
    private final Set<String> left = new HashSet<>();
    /** By name, the version of the list by which it leaves. */
    private final Map<String, Long> leaving = new HashMap<>();
    /** Names of gone hosts, the oldest first. */
    private final Set<String> gone = new LinkedHashSet<>();
    /** Of the batch that is not written yet. */
    private final List<String> staged = new ArrayList<>();

    /** {@code cold}: us that a host takes to warm up. */
    HostKnowledgeRecorder(Clock clock, Control control, HostDirectory hosts, HostKnowledgeJournal notes, long cold) {
        this.clock = clock;
        this.control = control;
        this.hosts = hosts;
        this.notes = notes;
        this.cold = cold;
        for (HostStateCache.Note note : notes.found()) {
            recollection.found(note);
            untold.add(note.host());
            if (note.leftAt() != HostStateCache.IN_USE) {
                leaving.put(note.host(), note.leftAt());
                gone.add(note.host());
            }
        }
    }

    /** The list from before the start, in which hosts that were leaving since get nothing new. */
    Relay.Listed careful(Relay.Listed known) {
        List<Relay.Endpoint> endpoints = new ArrayList<>();
        for (Relay.Endpoint p : known.endpoints()) {
            Host host = hosts.host(p.id());
            boolean since = p.listing() == Relay.Listing.READY && recollection.leftSince(host.name, hosts.version());
            if (since) {
                host.ready = false;
                left.add(host.name);
            }
            endpoints.add(
                    since
                            ? new Relay.Endpoint(
                                    p.id(), p.zone(), p.kind(), p.destination(), Relay.Listing.DRAINING, p.weight())
                            : p);
        }
        return new Relay.Listed(known.kind(), endpoints);
    }

    /** A list of the platform is held; what is told beside it to the module. */
    List<Relay.Event> listed(Relay.Listed list) {
        for (Host host : hosts.hosts()) {
            if (host.ready) {
                leaving.remove(host.name);
            } else {
                leaving.putIfAbsent(host.name, hosts.version());
            }
        }
        List<Relay.Event> told = new ArrayList<>(freed(list));
        told.addAll(believed());
        look();
        return told;
    }

    /** Those that the platform does not speak of are as the list from before the start has them. */
    private List<Relay.Event> freed(Relay.Listed list) {
        list.endpoints().forEach(p -> left.remove(hosts.host(p.id()) == null ? "" : hosts.host(p.id()).name));
        List<Relay.Endpoint> again = new ArrayList<>();
        for (Host host : hosts.hosts()) {
            if (left.remove(host.name) && !host.gone) {
                host.ready = true;
                leaving.remove(host.name);
                again.add(new Relay.Endpoint(
                        host.number, host.zone, host.kind, host.destination, Relay.Listing.READY, host.weight));
            }
        }
        left.clear();
        return again.isEmpty() ? List.of() : List.of(new Relay.Listed(Relay.ListKind.CHANGES, again));
    }

    /** What is still believed of the hosts that are listed by now. */
    List<Relay.Event> believed() {
        List<Relay.Event> told = new ArrayList<>();
        for (Host host : untold.isEmpty() ? List.<Host>of() : hosts.hosts()) {
            if (!host.gone && untold.remove(host.name)) {
                HostKnowledge known = recollection.believed(host.name, clock.moment(), cold);
                if (!known.equals(HostKnowledge.NOTHING)) {
                    told.add(new Relay.Remembered(
                            host.number,
                            new Relay.Known(
                                    known.waitFor(), known.failing(), known.warming(), known.limit(), known.pace())));
                }
            }
        }
        return told;
    }

    /** The module has decided on these: waits that they told are noted before anything of it goes out. */
    void decided(List<Relay.Event> events) {
        for (Relay.Event event : events) {
            if (event instanceof Relay.Ended e && e.retryAfter() > 0 && hosts.host(e.endpoint()) != null) {
                note(hosts.host(e.endpoint()));
            }
        }
    }

    /** Looks at all hosts; true where something was staged. */
    boolean look() {
        int before = staged.size();
        hosts.hosts().forEach(this::note);
        return staged.size() > before;
    }

    private void note(Host host) {
        if (untold.contains(host.name)) {
            return;
        }
        Relay.Known known = control.known(host.number);
        HostKnowledge here = known == null
                ? HostKnowledge.NOTHING
                : new HostKnowledge(
                        known.retryAfter(), known.isUnhealthy(), known.slowStartAge(), known.limit(), known.pace());
        HostStateCache.Note note = recollection.worth(
                clock.moment(), host.name, leaving.getOrDefault(host.name, HostStateCache.IN_USE), here);
        if (note == null) {
            return;
        }
        if (notes.put(note)) {
            staged.add(host.name);
        } else {
            recollection.forget(host.name);
        }
    }

    /** A batch was written, or failed: what it held is then noted anew. */
    void written(boolean lasts) {
        if (!lasts) {
            staged.forEach(recollection::forget);
        }
        staged.clear();
    }

    /** This life goes on with the memory of the one before. */
    void handedOn() {
        untold.clear();
    }

    /**
     * A host is gone and nothing is out to it. That it is gone is known for longer: the list that a start
     * begins with may still name it.
     */
    void forgotten(Host host) {
        gone.add(host.name);
        if (gone.size() > GONE_MOST) {
            String oldest = gone.iterator().next();
            gone.remove(oldest);
            if (hosts.hosts().stream().noneMatch(h -> h.name.equals(oldest))) {
                leaving.remove(oldest);
                recollection.forget(oldest);
                notes.drop(oldest);
            }
        }
    }
}
