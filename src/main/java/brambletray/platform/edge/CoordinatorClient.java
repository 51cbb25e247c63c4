package brambletray.platform.edge;

import brambletray.common.runtime.Machine;
import brambletray.platform.distribution.CoordinatorHeartbeat;
import brambletray.platform.distribution.DeltaChunk;
import brambletray.platform.distribution.LinkIntroduction;
import brambletray.platform.distribution.RosterRequest;
import brambletray.platform.failuredetection.EdgeWelcome;
import brambletray.platform.failuredetection.Roster;
import brambletray.platform.logging.EventLog;
import brambletray.platform.settings.Address;
import brambletray.platform.transport.FrameCodec;
import brambletray.platform.transport.Link;
import brambletray.platform.transport.LinkDialer;
import brambletray.platform.transport.LinkHandler;
import java.util.ArrayList;
import java.util.List;

/**
 * An edge's connection to the coordinator. Any member of the control plane answers with the coordinator's address and
 * sends it again as soon as it changes. If the coordinator sends no heartbeat, or reports that its lease has expired,
 * the edge detaches and tries the other members. Confined to the event loop.
 *
 * <p>Terms provide fencing: the highest term seen by this process is retained across connections and sent in each
 * {@code Hello}. An edge does not attach to a coordinator of a lower term and does not follow a redirect to one; a
 * coordinator's messages are accepted only on a connection on which it has sent a heartbeat, and only under the term of
 * that heartbeat.
 */
final class CoordinatorClient implements LinkHandler {
    private static final EventLog LOG = EventLog.of("edge");
    /**
     * Time in ms without a message after which the edge detaches from the coordinator, which sends four heartbeats in
     * that time.
     */
    private static final int HEARTBEAT_TIMEOUT_MS = 1_000;
    /**
     * If more ms than this pass between two ticks, this process itself was paused, and messages of the coordinator may
     * still be unread.
     */
    private static final int MAX_TICK_DELAY_MS = 500;
    /** Time in ms after which an unanswered roster request is repeated. */
    private static final int ROSTER_RETRY_MS = 1_000;

    private static final long NEVER = Long.MIN_VALUE / 2;
    /** Time limit in ms to connect and learn the coordinator's address, and for the coordinator's first heartbeat. */
    private static final int CONNECT_TIMEOUT_MS = 400;
    /**
     * Time in ms to stay connected to a member that is in an active view but knows no coordinator: it reports one as
     * soon as there is one.
     */
    private static final int WELCOME_TIMEOUT_MS = 1_000;
    /**
     * Time in ms to stay connected to a member that is in no active view: it may be partitioned from the others for
     * long, or a view may be about to begin.
     */
    private static final int RETRY_INTERVAL_MS = 150;
    /**
     * Time in ms for which redirects to a coordinator that sent no heartbeat or gave up its lease are not followed:
     * until its lease expires, other members may still name it.
     */
    private static final int AVOID_MS = 600;

    /** Receives the coordinator's messages and supplies the edge's state. */
    interface Listener {
        /** The hello sent on each new link, and again when a tried member is the one already connected. */
        Object helloFrame();

        Roster currentRoster();

        void onRoster(Roster roster);

        /** Called when {@link #nextDueMs} may have become earlier. */
        void onTimeoutChanged();

        /** The coordinator has announced the newest configuration revision. */
        void onNewestRevision(long revision);

        /** A chunk of a requested configuration delta. */
        void onChunk(DeltaChunk chunk);

        /** Any other message of the coordinator. */
        void onFrame(Object frame);

        /** The edge has attached to a coordinator of this term; nothing but the hello was sent to it yet. */
        void onAttached(long term);
    }

    private record Avoided(Address coordinator, long term, long untilMs) {}

    private final Machine machine;
    private final FrameCodec codec;
    private final LinkIntroduction self;
    private final Listener listener;
    private final CoordinatorCandidates candidates;
    private LinkDialer dialer;
    private long connectingSinceMs;
    /** Time in ms from {@link #connectingSinceMs} until the next member is tried. */
    private int timeoutMs = CONNECT_TIMEOUT_MS;

    private Avoided avoided = new Avoided(null, 0, Long.MIN_VALUE / 2);
    private long heartbeatAtMs = Long.MIN_VALUE / 2;
    private long term;
    private boolean isAttached;
    private long lastTickMs = Long.MIN_VALUE / 2;
    /** When the pending roster request was sent, ms; {@link #NEVER}: none is pending. */
    private long rosterRequestedAtMs = NEVER;

    CoordinatorClient(
            Machine machine,
            FrameCodec codec,
            LinkIntroduction self,
            List<Address> members,
            int startOffset,
            Listener listener) {
        this.machine = machine;
        this.codec = codec;
        this.self = self;
        this.listener = listener;
        this.candidates = new CoordinatorCandidates(startOffset);
        onMembers(members);
    }

    /** Sets the control plane members that the settings name now. */
    void onMembers(List<Address> members) {
        candidates.onSeeds(members);
    }

    boolean isAttached() {
        return isAttached;
    }

    /** The highest term of any coordinator heartbeat that this process has received; 0: none yet. */
    long term() {
        return term;
    }

    /** Sends a frame to the coordinator; drops it and returns false if the edge is not attached. */
    boolean send(Object frame) {
        return isAttached && dialer != null && dialer.send(frame);
    }

    void tick(long now) {
        if (now - lastTickMs > MAX_TICK_DELAY_MS) {
            heartbeatAtMs = Math.max(heartbeatAtMs, now - MAX_TICK_DELAY_MS);
        }
        lastTickMs = now;
        if (isAttached && now - heartbeatAtMs > HEARTBEAT_TIMEOUT_MS) {
            onCoordinatorLost("no heartbeat for " + (now - heartbeatAtMs) + " ms", now);
            connectToNext(now);
        } else if (!isAttached && (dialer == null || now - connectingSinceMs > timeoutMs)) {
            connectToNext(now);
        }
    }

    /** When {@link #tick} is next needed if no message arrives before; monotonic ms. */
    long nextDueMs() {
        if (isAttached) {
            return heartbeatAtMs + HEARTBEAT_TIMEOUT_MS + 1;
        }
        return dialer == null ? lastTickMs : connectingSinceMs + timeoutMs + 1;
    }

    private void onCoordinatorLost(String reason, long now) {
        isAttached = false;
        avoided = new Avoided(dialer.target(), term, now + AVOID_MS);
        candidates.restart();
        LOG.info("coordinator-lost")
                .with("coordinator", dialer.target())
                .with("term", term)
                .with("why", reason)
                .log();
    }

    private void connectToNext(long now) {
        Address next = candidates.next(dialer == null ? null : dialer.target());
        if (next != null) {
            connectTo(next, now);
        }
    }

    private void connectTo(Address member, long now) {
        startTimeout(CONNECT_TIMEOUT_MS, now);
        if (dialer != null && dialer.target().equals(member)) {
            dialer.dialNow();
            if (dialer.isUp()) {
                dialer.send(listener.helloFrame());
            }
            return;
        }
        if (dialer != null) {
            dialer.close();
        }
        dialer = new LinkDialer(machine, codec, member, this, now ^ member.hashCode());
    }

    private void startTimeout(int ms, long now) {
        connectingSinceMs = now;
        timeoutMs = ms;
        listener.onTimeoutChanged();
    }

    private long now() {
        return machine.clock().nanos() / 1_000_000;
    }

    @Override
    public void onLinkUp(Link link) {
        link.send(self);
        link.send(listener.helloFrame());
    }

    @Override
    public void onFrame(Link link, Object frame) {
        if (dialer == null || dialer.link() != link) {
            return;
        }
        long now = now();
        if (frame instanceof EdgeWelcome welcome) {
            onWelcome(welcome, now);
        } else if (frame instanceof CoordinatorHeartbeat heartbeat) {
            onHeartbeat(heartbeat, now);
        } else if (frame instanceof Roster roster) {
            if (hasAuthority(roster.term(), frame)) {
                heartbeatAtMs = now;
                rosterRequestedAtMs = NEVER;
                listener.onRoster(roster);
            }
        } else if (frame instanceof DeltaChunk chunk) {
            if (hasAuthority(chunk.term(), frame)) {
                // Counts as a heartbeat: only a coordinator that holds its lease sends it.
                heartbeatAtMs = now;
                listener.onChunk(chunk);
            }
        } else if (hasAuthority(term, frame)) {
            listener.onFrame(frame);
        }
    }

    /** Whether a frame of this term is from the coordinator that the edge is attached to; logs rejected frames. */
    private boolean hasAuthority(long frameTerm, Object frame) {
        boolean authoritative = isAttached && frameTerm == term;
        if (!authoritative) {
            LOG.info("frame-rejected")
                    .with("frame", frame.getClass().getSimpleName())
                    .with("from", dialer.target())
                    .with("frame-term", frameTerm)
                    .with("term", term)
                    .with("attached", isAttached)
                    .log();
        }
        return authoritative;
    }

    private void onWelcome(EdgeWelcome welcome, long now) {
        List<Address> members = new ArrayList<>();
        welcome.members().forEach(member -> members.add(Address.parse(member)));
        candidates.onViewMembers(welcome.viewNumber(), members);
        boolean namesCoordinator = !welcome.coordinatorAddress().isEmpty() && welcome.term() >= term;
        Address coordinator = namesCoordinator ? Address.parse(welcome.coordinatorAddress()) : null;
        boolean isNamedMember = namesCoordinator && coordinator.equals(dialer.target());
        if (isNamedMember && welcome.lacks(listener.currentRoster())) {
            dialer.send(listener.currentRoster());
        }
        if (isAttached && namesCoordinator && welcome.term() == term) {
            return;
        }
        if (isAttached) {
            onCoordinatorLost(
                    namesCoordinator ? "member names another coordinator" : "coordinator lease has expired", now);
        }
        if (isNamedMember) {
            startTimeout(CONNECT_TIMEOUT_MS, now);
        } else if (!namesCoordinator) {
            startTimeout(welcome.inActiveView() ? WELCOME_TIMEOUT_MS : RETRY_INTERVAL_MS, now);
        } else if (coordinator.equals(avoided.coordinator())
                && welcome.term() == avoided.term()
                && now < avoided.untilMs()) {
            startTimeout((int) (avoided.untilMs() - now), now);
        } else {
            connectTo(coordinator, now);
        }
    }

    private void onHeartbeat(CoordinatorHeartbeat heartbeat, long now) {
        if (heartbeat.term() < term) {
            LOG.info("frame-rejected")
                    .with("frame", "CoordinatorHeartbeat")
                    .with("from", dialer.target())
                    .with("frame-term", heartbeat.term())
                    .with("term", term)
                    .with("attached", isAttached)
                    .log();
            return;
        }
        boolean isNewTerm = !isAttached || heartbeat.term() > term;
        heartbeatAtMs = now;
        term = heartbeat.term();
        isAttached = true;
        if (isNewTerm) {
            LOG.info("coordinator-attached")
                    .with("coordinator", dialer.target())
                    .with("term", term)
                    .log();
            rosterRequestedAtMs = NEVER;
            listener.onAttached(term);
        }
        listener.onNewestRevision(heartbeat.revision());
        Roster roster = listener.currentRoster();
        boolean isRosterOutdated = heartbeat.rosterNumber() > 0
                && (roster.term() != heartbeat.term() || roster.number() < heartbeat.rosterNumber());
        if (isRosterOutdated && now - rosterRequestedAtMs > ROSTER_RETRY_MS) {
            rosterRequestedAtMs = now;
            dialer.send(new RosterRequest(roster.term(), roster.number()));
        }
    }

    @Override
    public void onLinkDown(Link link, String reason) {
        if (isAttached && dialer.link() == null) {
            onCoordinatorLost(reason, now());
            startTimeout(RETRY_INTERVAL_MS, now());
        }
    }
}
