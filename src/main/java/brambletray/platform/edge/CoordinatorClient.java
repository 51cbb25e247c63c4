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
 * repeats it as soon as it changes; a coordinator that sends no heartbeat, or says that its lease has expired, is
 * left for the next member that answers. To be used on the loop only.
 *
 * <p>Terms fence it: the highest term seen by this process is kept across connections and sent in each {@code Hello}.
 * An edge does not attach to a coordinator of a lower term and does not follow a redirect to one; a coordinator's
 * messages count only on a connection on which it has sent a heartbeat, and only under the term of that heartbeat.
 */
final class CoordinatorClient implements LinkHandler {
    private static final EventLog LOG = EventLog.of("edge");
    /**
     * ms without a message after which the coordinator is looked for elsewhere; it sends four heartbeats in that
     * time.
     */
    private static final int HEARTBEAT_TIMEOUT_MS = 1_000;
    /**
     * ms between two ticks from which on this process itself was paused, and messages of the coordinator may lie
     * unread.
     */
    private static final int MAX_TICK_DELAY_MS = 500;
    /** ms after which a roster that was asked for is asked for again. */
    private static final int ROSTER_RETRY_MS = 1_000;

    private static final long NEVER = Long.MIN_VALUE / 2;
    /** ms for a member to connect and name the coordinator, and for the coordinator to send a heartbeat. */
    private static final int CONNECT_TIMEOUT_MS = 400;
    /**
     * ms to stay with a member that is in touch with the others and knows no coordinator: it reports one as soon as
     * there is one.
     */
    private static final int WELCOME_TIMEOUT_MS = 1_000;
    /**
     * ms to stay with a member that is out of touch: it may be cut off from the rest for long, or a view may be about
     * to begin.
     */
    private static final int RETRY_INTERVAL_MS = 150;
    /**
     * ms for which a coordinator that sent no heartbeat, or released this edge, is not tried again on the word of
     * others, which may be as old as its lease.
     */
    private static final int AVOID_MS = 600;

    /** What an edge does with what it hears. */
    interface Listener {
        /** What to say first on each link, and again when not listed as it is. */
        Object helloFrame();

        Roster currentRoster();

        void onRoster(Roster roster);

        /** {@link #nextDueMs} may be earlier than before. */
        void onTimeoutChanged();

        /** The coordinator has announced the newest configuration. */
        void onNewestRevision(long revision);

        /** A part of it, as was fetched. */
        void onChunk(DeltaChunk chunk);

        /** Every other message of the coordinator. */
        void onFrame(Object frame);

        /** A coordinator of this term has been found; nothing was sent to it yet. */
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
    /** ms from {@link #connectingSinceMs} until the next member is asked. */
    private int timeoutMs = CONNECT_TIMEOUT_MS;

    private Avoided avoided = new Avoided(null, 0, Long.MIN_VALUE / 2);
    private long heartbeatAtMs = Long.MIN_VALUE / 2;
    private long term;
    private boolean isAttached;
    private long lastTickMs = Long.MIN_VALUE / 2;
    /** When the roster was asked for, and hasn't come; ms. */
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

    /** Members of the core, as the settings name them now. */
    void onMembers(List<Address> members) {
        candidates.onSeeds(members);
    }

    boolean isAttached() {
        return isAttached;
    }

    /** The highest term of any coordinator that has spoken to this process; 0: none yet. */
    long term() {
        return term;
    }

    /** Sends to the coordinator; lost where there is none. */
    boolean send(Object frame) {
        return isAttached && dialer != null && dialer.send(frame);
    }

    void tick(long now) {
        if (now - lastTickMs > MAX_TICK_DELAY_MS) {
            heartbeatAtMs = Math.max(heartbeatAtMs, now - MAX_TICK_DELAY_MS);
        }
        lastTickMs = now;
        if (isAttached && now - heartbeatAtMs > HEARTBEAT_TIMEOUT_MS) {
            onCoordinatorLost("no pulse for " + (now - heartbeatAtMs) + " ms", now);
            connectToNext(now);
        } else if (!isAttached && (dialer == null || now - connectingSinceMs > timeoutMs)) {
            connectToNext(now);
        }
    }

    /** When {@link #tick} has something to do, unless a message comes before; steady ms. */
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
                // Sent by a coordinator that may act, like a heartbeat.
                heartbeatAtMs = now;
                listener.onChunk(chunk);
            }
        } else if (hasAuthority(term, frame)) {
            listener.onFrame(frame);
        }
    }

    /** Whether a frame under this term has authority here and now. */
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
        boolean named = !welcome.coordinatorAddress().isEmpty() && welcome.term() >= term;
        Address coordinator = named ? Address.parse(welcome.coordinatorAddress()) : null;
        boolean here = named && coordinator.equals(dialer.target());
        if (here && welcome.lacks(listener.currentRoster())) {
            dialer.send(listener.currentRoster());
        }
        if (isAttached && named && welcome.term() == term) {
            return;
        }
        if (isAttached) {
            onCoordinatorLost(named ? "it names another coordinator" : "its lease has expired", now);
        }
        if (here) {
            startTimeout(CONNECT_TIMEOUT_MS, now);
        } else if (!named) {
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
        boolean fresh = !isAttached || heartbeat.term() > term;
        heartbeatAtMs = now;
        term = heartbeat.term();
        isAttached = true;
        if (fresh) {
            LOG.info("coordinator-attached")
                    .with("coordinator", dialer.target())
                    .with("term", term)
                    .log();
            rosterRequestedAtMs = NEVER;
            listener.onAttached(term);
        }
        listener.onNewestRevision(heartbeat.revision());
        Roster roster = listener.currentRoster();
        boolean behind = heartbeat.rosterNumber() > 0
                && (roster.term() != heartbeat.term() || roster.number() < heartbeat.rosterNumber());
        if (behind && now - rosterRequestedAtMs > ROSTER_RETRY_MS) {
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
