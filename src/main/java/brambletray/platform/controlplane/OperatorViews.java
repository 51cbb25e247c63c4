package brambletray.platform.controlplane;

import brambletray.platform.election.LeaseHolder;
import brambletray.platform.failuredetection.Peer;
import brambletray.platform.failuredetection.Roster;
import brambletray.platform.provisioning.InstanceInfo;
import brambletray.platform.replication.Member;
import brambletray.platform.replication.ReplicaRole;
import brambletray.platform.replication.ReplicaStatus;
import java.util.List;
import java.util.Map;

/**
 * What operators may look at, below {@code /brambletray/system}. Each member answers for itself where it stands
 * ({@code views}) and who it holds to have the duty ({@code duties}); edges and hosts are known at the helm, and
 * callers are sent there by 307. Nothing is changed here. The loop's.
 */
final class OperatorViews {
    static final String AT = "/brambletray/system/";
    /** Hosts in one answer; {@code known} says how many there are. */
    static final int MOST = 4_096;

    private static final String COORDINATOR = "helm";
    private static final String[] STATES = {"booting", "up", "leaving"};

    /** What this member knows. */
    interface Source {
        ReplicaStatus status();

        /**
         * Zones, or else regions, that may be lost and hold half of the view or more; empty where the rest would go on.
         */
        List<String> zonesThatHoldHalf();

        /** Of the configuration in force here. */
        long revision();

        /** Who holds the helm as far as known here, or null. */
        LeaseHolder coordinator();

        /** Null: the helm is not held here. */
        Book book();

        /** Steady ms. */
        long now();
    }

    /** What the holder of the helm knows. */
    interface Book {
        Roster roster();

        /** The configuration's revision that this edge says it serves by, or -1: it has no link here. */
        long has(String edge);

        /** At most {@link #MOST}; {@code service} null: of all. */
        List<InstanceInfo> hosts(String service);

        /** Hosts of all services. */
        int known();
    }

    private final Source source;
    private long term;
    private long since;

    OperatorViews(Source source) {
        this.source = source;
        since = source.now();
    }

    void register(Dispatch<ControlPlaneServer.Desk> table) {
        table.on("GET", AT + "views", (call, part) -> call.give(200, views()))
                .on("GET", AT + "duties", (call, part) -> call.give(200, duties()))
                .on("GET", AT + "edges", (call, part) -> atHelm(call, this::edges))
                .on("GET", AT + "hosts", (call, part) -> atHelm(call, book -> hosts(book, null)))
                .on("GET", AT + "hosts/*", (call, part) -> atHelm(call, book -> hosts(book, part)));
    }

    /** Remembers since when the holder is known. */
    void tick() {
        LeaseHolder coordinator = source.coordinator();
        long now = coordinator == null ? 0 : coordinator.term();
        if (now != term) {
            term = now;
            since = source.now();
        }
    }

    private interface Page {
        byte[] of(Book book);
    }

    private void atHelm(ControlCall call, Page page) {
        Book book = source.book();
        LeaseHolder coordinator = source.coordinator();
        if (book != null) {
            call.give(200, page.of(book));
        } else if (coordinator == null
                || coordinator.member().address().equals(source.status().self().address())) {
            call.refuse(503, "controlplane.no-helm", "nobody is known to hold the helm at present");
        } else {
            call.answer()
                    .give(
                            307,
                            null,
                            Map.of("Location", "http://" + coordinator.member().address() + call.path()));
        }
    }

    private JsonObjectWriter head() {
        return new JsonObjectWriter().text("node", source.status().self().name());
    }

    private byte[] views() {
        ReplicaStatus status = source.status();
        List<String> half = source.zonesThatHoldHalf();
        JsonObjectWriter sheet = head().text("address", status.self().address())
                .text("life", Long.toHexString(status.self().incarnation()))
                .text("standing", shownRole(status.role()))
                .number("view", status.viewNumber())
                .flag("in-force", status.active())
                .flag("settled", status.settled())
                .text("leader", status.leader() == null ? null : status.leader().name())
                .flag("leading", status.isLeader())
                .number("commit", status.commitIndex())
                .number("delivered", status.appliedIndex())
                .flag("ill", status.diskUnhealthy())
                .number("revision", source.revision())
                .text("zones-holding-half", half.isEmpty() ? null : String.join(" ", half))
                .list("members");
        for (Member member : status.members()) {
            sheet.item()
                    .text("name", member.name())
                    .text("address", member.address())
                    .text("life", Long.toHexString(member.incarnation()))
                    .text("zone", member.zone())
                    .end();
        }
        return sheet.close().bytes();
    }

    /** The words under which operators know the roles; they stay when a constant is renamed. */
    private static String shownRole(ReplicaRole role) {
        return switch (role) {
            case FOUNDING -> "founding";
            case MEMBER -> "member";
            case SUSPENDED -> "stopped";
            case JOINING -> "knocking";
        };
    }

    private byte[] duties() {
        LeaseHolder coordinator = source.coordinator();
        JsonObjectWriter sheet = head().list("duties")
                .item()
                .text("duty", COORDINATOR)
                .text(
                        "holder",
                        coordinator == null ? null : coordinator.member().name())
                .text(
                        "address",
                        coordinator == null ? null : coordinator.member().address())
                .number("term", coordinator == null ? 0 : coordinator.term())
                .number("since-ms", source.now() - since)
                .flag("here", source.book() != null);
        return sheet.end().close().bytes();
    }

    private byte[] edges(Book book) {
        Roster roster = book.roster();
        JsonObjectWriter sheet = head().number("term", roster.term())
                .number("number", roster.number())
                .number("revision", source.revision())
                .list("edges");
        for (Peer peer : roster.peers()) {
            long has = book.has(peer.name());
            sheet.item()
                    .text("name", peer.name())
                    .text("zone", peer.zone())
                    .text("address", peer.address())
                    .text("life", Long.toHexString(peer.life()))
                    .text("state", peer.in() ? "in" : "leaving")
                    .flag("linked", has >= 0)
                    .number("revision", Math.max(0, has))
                    .end();
        }
        return sheet.close().bytes();
    }

    private byte[] hosts(Book book, String service) {
        JsonObjectWriter sheet = head().number("known", book.known()).list("hosts");
        for (InstanceInfo host : book.hosts(service)) {
            sheet.item()
                    .text("id", host.id())
                    .text("service", host.service())
                    .text("address", host.address())
                    .text("zone", host.zone())
                    .text("seat", host.seat())
                    .text("worker", host.worker())
                    .text("state", host.state() >= 0 && host.state() < STATES.length ? STATES[host.state()] : "?")
                    .number("age-ms", host.bornAgoMs())
                    .end();
        }
        return sheet.close().bytes();
    }
}
