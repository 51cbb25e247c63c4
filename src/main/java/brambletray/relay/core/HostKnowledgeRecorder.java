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
 * Persists what the control module knows of hosts, for the next run of the process. Retry-after times are staged in the
 * batch of the turn that received them, the rest at the next periodic check. Runs on the event loop's thread.
 */
final class HostKnowledgeRecorder {
    /** Maximum number of gone hosts that are still remembered as gone. */
    private static final int MAX_GONE_HOSTS = 64;

    private final Clock clock;
    private final Control control;
    private final HostDirectory hosts;
    private final HostKnowledgeJournal journal;
    private final HostStateCache stateCache = new HostStateCache();
    private final long slowStartUs;
    /**
     * Hosts recorded by earlier runs of the process whose knowledge has not been passed to the control module yet; it
     * is passed on once, when a list names the host.
     */
    private final Set<String> notYetRestored = new HashSet<>();
    /**
     * Hosts that the last known list names ready, but that were reported as leaving after it; kept out of use until the
     * first list that the platform sends in this run.
     */
    private final Set<String> leftSinceLastKnownList = new HashSet<>();
    /** By host name, the version of the list that reported the host as draining or gone. */
    private final Map<String, Long> leftInVersion = new HashMap<>();
    /** Names of gone hosts, oldest first. */
    private final Set<String> goneHosts = new LinkedHashSet<>();
    /** Names of hosts with an entry in the batch that is not committed yet. */
    private final List<String> stagedHosts = new ArrayList<>();

    /** {@code slowStartUs}: duration of a host's slow start, us. */
    HostKnowledgeRecorder(
            Clock clock, Control control, HostDirectory hosts, HostKnowledgeJournal journal, long slowStartUs) {
        this.clock = clock;
        this.control = control;
        this.hosts = hosts;
        this.journal = journal;
        this.slowStartUs = slowStartUs;
        for (HostStateCache.Entry entry : journal.found()) {
            stateCache.restore(entry);
            notYetRestored.add(entry.host());
            if (entry.leftInVersion() != HostStateCache.IN_USE) {
                leftInVersion.put(entry.host(), entry.leftInVersion());
                goneHosts.add(entry.host());
            }
        }
    }

    /** Returns the last known list with hosts that were reported as leaving after it set to draining. */
    Relay.EndpointsListed withLeavingHostsDraining(Relay.EndpointsListed lastKnownList) {
        List<Relay.Endpoint> endpoints = new ArrayList<>();
        for (Relay.Endpoint endpoint : lastKnownList.endpoints()) {
            Host host = hosts.host(endpoint.id());
            boolean hasLeft =
                    endpoint.listing() == Relay.Listing.READY && stateCache.hasLeftSince(host.name, hosts.version());
            if (hasLeft) {
                host.ready = false;
                leftSinceLastKnownList.add(host.name);
            }
            endpoints.add(
                    hasLeft
                            ? new Relay.Endpoint(
                                    endpoint.id(),
                                    endpoint.zone(),
                                    endpoint.kind(),
                                    endpoint.destination(),
                                    Relay.Listing.DRAINING,
                                    endpoint.weight())
                            : endpoint);
        }
        return new Relay.EndpointsListed(lastKnownList.kind(), endpoints);
    }

    /** Handles a list from the platform; returns further events for the control module. */
    List<Relay.Event> onListed(Relay.EndpointsListed list) {
        for (Host host : hosts.hosts()) {
            if (host.ready) {
                leftInVersion.remove(host.name);
            } else {
                leftInVersion.putIfAbsent(host.name, hosts.version());
            }
        }
        List<Relay.Event> events = new ArrayList<>(relistUnmentionedHosts(list));
        events.addAll(restoredEvents());
        recordChanges();
        return events;
    }

    /** Hosts that the platform's first list does not mention get back the state of the last known list. */
    private List<Relay.Event> relistUnmentionedHosts(Relay.EndpointsListed list) {
        list.endpoints()
                .forEach(endpoint -> leftSinceLastKnownList.remove(
                        hosts.host(endpoint.id()) == null ? "" : hosts.host(endpoint.id()).name));
        List<Relay.Endpoint> relisted = new ArrayList<>();
        for (Host host : hosts.hosts()) {
            if (leftSinceLastKnownList.remove(host.name) && !host.gone) {
                host.ready = true;
                leftInVersion.remove(host.name);
                relisted.add(new Relay.Endpoint(
                        host.number, host.zone, host.kind, host.destination, Relay.Listing.READY, host.weight));
            }
        }
        leftSinceLastKnownList.clear();
        return relisted.isEmpty() ? List.of() : List.of(new Relay.EndpointsListed(Relay.ListKind.CHANGES, relisted));
    }

    /** Returns the recorded knowledge that is still valid, for hosts that are listed for the first time in this run. */
    List<Relay.Event> restoredEvents() {
        List<Relay.Event> events = new ArrayList<>();
        for (Host host : notYetRestored.isEmpty() ? List.<Host>of() : hosts.hosts()) {
            if (!host.gone && notYetRestored.remove(host.name)) {
                HostKnowledge known = stateCache.stillValid(host.name, clock.moment(), slowStartUs);
                if (!known.equals(HostKnowledge.NONE)) {
                    events.add(new Relay.EndpointRestored(
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
        return events;
    }

    /** Stages the retry-after times of a turn's events, so that they are committed before the turn's sends. */
    void stageRetryAfterTimes(List<Relay.Event> events) {
        for (Relay.Event event : events) {
            if (event instanceof Relay.AttemptEnded ended
                    && ended.retryAfter() > 0
                    && hosts.host(ended.endpoint()) != null) {
                record(hosts.host(ended.endpoint()));
            }
        }
    }

    /** Stages the changed knowledge of all hosts; true if anything was staged. */
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
        HostKnowledge knowledge = known == null
                ? HostKnowledge.NONE
                : new HostKnowledge(
                        known.retryAfter(), known.isUnhealthy(), known.slowStartAge(), known.limit(), known.pace());
        HostStateCache.Entry entry = stateCache.nextEntry(
                clock.moment(), host.name, leftInVersion.getOrDefault(host.name, HostStateCache.IN_USE), knowledge);
        if (entry == null) {
            return;
        }
        if (journal.put(entry)) {
            stagedHosts.add(host.name);
        } else {
            stateCache.forget(host.name);
        }
    }

    /** A batch was committed or failed; entries of a failed batch are recorded again. */
    void onWritten(boolean succeeded) {
        if (!succeeded) {
            stagedHosts.forEach(stateCache::forget);
        }
        stagedHosts.clear();
    }

    /** After a handover, the control module's memory already has what the store would restore. */
    void onHandedOver() {
        notYetRestored.clear();
    }

    /**
     * A gone host was dropped. Its absence is remembered for longer, because the last known list at the next start may
     * still name it.
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
