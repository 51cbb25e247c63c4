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
 * Brings what the module knows of hosts over the end of the process: retry-after times in the batch of the turn that
 * reported them, the rest when it is looked at. One thread, that of the event loop.
 */
final class HostKnowledgeRecorder {
    /** Hosts that are gone of which that is still known. */
    private static final int MAX_GONE_HOSTS = 64;

    private final Clock clock;
    private final Control control;
    private final HostDirectory hosts;
    private final HostKnowledgeJournal journal;
    private final HostStateCache stateCache = new HostStateCache();
    private final long slowStartUs;
    /**
     * Hosts of earlier runs of the process that no list has named yet; of those known, what is believed is reported
     * once.
     */
    private final Set<String> notYetRestored = new HashSet<>();
    /**
     * Hosts that no list of the platform in this run of the process has spoken of, and that had left when it last did.
     */
    private final Set<String> leftSinceLastKnownList = new HashSet<>();
    /** By name, the version of the list by which it leaves. */
    private final Map<String, Long> leftInVersion = new HashMap<>();
    /** Names of gone hosts, the oldest first. */
    private final Set<String> goneHosts = new LinkedHashSet<>();
    /** Of the batch that is not written yet. */
    private final List<String> stagedHosts = new ArrayList<>();

    /** {@code slowStartUs}: us that a host needs for slow start. */
    HostKnowledgeRecorder(Clock clock, Control control, HostDirectory hosts, HostKnowledgeJournal notes, long cold) {
        this.clock = clock;
        this.control = control;
        this.hosts = hosts;
        this.journal = notes;
        this.slowStartUs = cold;
        for (HostStateCache.Entry note : notes.found()) {
            stateCache.restore(note);
            notYetRestored.add(note.host());
            if (note.leftInVersion() != HostStateCache.IN_USE) {
                leftInVersion.put(note.host(), note.leftInVersion());
                goneHosts.add(note.host());
            }
        }
    }

    /** The list from before the start, in which hosts that were leaving since get nothing new. */
    Relay.EndpointsListed withLeavingHostsDraining(Relay.EndpointsListed known) {
        List<Relay.Endpoint> endpoints = new ArrayList<>();
        for (Relay.Endpoint endpoint : known.endpoints()) {
            Host host = hosts.host(endpoint.id());
            boolean since =
                    endpoint.listing() == Relay.Listing.READY && stateCache.hasLeftSince(host.name, hosts.version());
            if (since) {
                host.ready = false;
                leftSinceLastKnownList.add(host.name);
            }
            endpoints.add(
                    since
                            ? new Relay.Endpoint(
                                    endpoint.id(),
                                    endpoint.zone(),
                                    endpoint.kind(),
                                    endpoint.destination(),
                                    Relay.Listing.DRAINING,
                                    endpoint.weight())
                            : endpoint);
        }
        return new Relay.EndpointsListed(known.kind(), endpoints);
    }

    /** A list of the platform is held; the events for the module beside it. */
    List<Relay.Event> onListed(Relay.EndpointsListed list) {
        for (Host host : hosts.hosts()) {
            if (host.ready) {
                leftInVersion.remove(host.name);
            } else {
                leftInVersion.putIfAbsent(host.name, hosts.version());
            }
        }
        List<Relay.Event> taken = new ArrayList<>(relistUnmentionedHosts(list));
        taken.addAll(restoredEvents());
        recordChanges();
        return taken;
    }

    /** Those that the platform does not speak of are as the list from before the start has them. */
    private List<Relay.Event> relistUnmentionedHosts(Relay.EndpointsListed list) {
        list.endpoints()
                .forEach(endpoint -> leftSinceLastKnownList.remove(
                        hosts.host(endpoint.id()) == null ? "" : hosts.host(endpoint.id()).name));
        List<Relay.Endpoint> again = new ArrayList<>();
        for (Host host : hosts.hosts()) {
            if (leftSinceLastKnownList.remove(host.name) && !host.gone) {
                host.ready = true;
                leftInVersion.remove(host.name);
                again.add(new Relay.Endpoint(
                        host.number, host.zone, host.kind, host.destination, Relay.Listing.READY, host.weight));
            }
        }
        leftSinceLastKnownList.clear();
        return again.isEmpty() ? List.of() : List.of(new Relay.EndpointsListed(Relay.ListKind.CHANGES, again));
    }

    /** What is still believed of the hosts that are listed by now. */
    List<Relay.Event> restoredEvents() {
        List<Relay.Event> taken = new ArrayList<>();
        for (Host host : notYetRestored.isEmpty() ? List.<Host>of() : hosts.hosts()) {
            if (!host.gone && notYetRestored.remove(host.name)) {
                HostKnowledge known = stateCache.stillValid(host.name, clock.moment(), slowStartUs);
                if (!known.equals(HostKnowledge.NONE)) {
                    taken.add(new Relay.EndpointRestored(
                            host.number,
                            new Relay.EndpointKnowledge(
                                    known.retryAfterUs(),
                                    known.isUnhealthy(),
                                    known.slowStartAgeUs(),
                                    known.limit(),
                                    known.pace())));
                }
            }
        }
        return taken;
    }

    /** The module has decided on these: retry-after times in them are noted before anything of it goes out. */
    void stageRetryAfterTimes(List<Relay.Event> events) {
        for (Relay.Event event : events) {
            if (event instanceof Relay.AttemptEnded ended && ended.retryAfter() > 0 && hosts.host(ended.endpoint()) != null) {
                record(hosts.host(ended.endpoint()));
            }
        }
    }

    /** Looks at all hosts; true where something was staged. */
    boolean recordChanges() {
        int before = stagedHosts.size();
        hosts.hosts().forEach(this::record);
        return stagedHosts.size() > before;
    }

    private void record(Host host) {
        if (notYetRestored.contains(host.name)) {
            return;
        }
        Relay.EndpointKnowledge known = control.endpointKnowledge(host.number);
        HostKnowledge here = known == null
                ? HostKnowledge.NONE
                : new HostKnowledge(
                        known.retryAfter(), known.isUnhealthy(), known.slowStartAge(), known.limit(), known.pace());
        HostStateCache.Entry note = stateCache.nextEntry(
                clock.moment(), host.name, leftInVersion.getOrDefault(host.name, HostStateCache.IN_USE), here);
        if (note == null) {
            return;
        }
        if (journal.put(note)) {
            stagedHosts.add(host.name);
        } else {
            stateCache.forget(host.name);
        }
    }

    /** A batch was written, or failed: what it held is then noted anew. */
    void onWritten(boolean lasts) {
        if (!lasts) {
            stagedHosts.forEach(stateCache::forget);
        }
        stagedHosts.clear();
    }

    /** This run of the process goes on with the memory of the one before. */
    void onHandedOver() {
        notYetRestored.clear();
    }

    /**
     * A host is gone and nothing is out to it. That it is gone is known for longer: the list that a start
     * begins with may still name it.
     */
    void onForgotten(Host host) {
        goneHosts.add(host.name);
        if (goneHosts.size() > MAX_GONE_HOSTS) {
            String oldest = goneHosts.iterator().next();
            goneHosts.remove(oldest);
            if (hosts.hosts().stream().noneMatch(other -> other.name.equals(oldest))) {
                leftInVersion.remove(oldest);
                stateCache.forget(oldest);
                journal.drop(oldest);
            }
        }
    }
}
