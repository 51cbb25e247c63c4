package brambletray.platform.edge;

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
import brambletray.runtime.Machine;
import java.util.ArrayList;
import java.util.List;

/**
 * An edge's link to the holder of the helm. Any member of the core says who that is, and says it again as soon as that
 * changes; a holder that stops pulsing, or says that its lease has run out, is left for the next member that answers.
 * For the loop only.
 *
 * <p>Terms fence it: the highest one seen in this life is remembered across links and told in each Hello. A helm of a
 * lower term is not attached to and a hint to one is not followed; what a helm says counts only on a link on which it
 * has pulsed, and only under the term of that pulse.
 */
final class CoordinatorClient implements LinkHandler {
    private static final EventLog LOG = EventLog.of("edge");
    /** ms without a sign of life after which the helm is looked for elsewhere; it pulses four times in that. */
    private static final int ADRIFT = 1_000;
    /** ms between two ticks from which on this process itself has slept, and what the helm said may lie unread. */
    private static final int SLEPT = 500;
    /** ms after which a roster that was asked for is asked for again. */
    private static final int ROSTER = 1_000;

    private static final long NEVER = Long.MIN_VALUE / 2;
    /** ms that a member is given to come up and say where the helm is, and the helm to pulse. */
    private static final int TRY = 400;
    /**
     * ms to stay with a member that is in touch with the others and knows of no helm: it says so as soon as there is
     * one.
     */
    private static final int WAIT = 1_000;
    /**
     * ms to stay with a member that is out of touch: it may be cut off from the rest for long, or a view may be about
     * to begin.
     */
    private static final int SHORT = 150;
    /**
     * ms for which a helm that did not pulse, or let us go, is not returned to on others' word, which may be as old as
     * its lease.
     */
    private static final int AVOID = 600;

    /** What an edge does with what it hears. */
    interface Ear {
        /** What to say first on each link, and again when not listed as it is. */
        Object hello();

        Roster roster();

        void roster(Roster roster);

        /** The helm says which configuration is the newest. */
        void newest(long revision);

        /** A part of it, as was fetched. */
        void chunk(DeltaChunk chunk);

        /** Everything else that the helm says. */
        void heard(Object frame);

        /** A helm has been found: of this term; the first word to it is still to be said. */
        void attached(long term);
    }

    private record Avoided(Address coordinator, long term, long until) {}

    private final Machine machine;
    private final FrameCodec speech;
    private final LinkIntroduction self;
    private final Ear frameDispatcher;
    private final CoordinatorCandidates candidates;
    private LinkDialer dialler;
    private long since;
    /** ms from {@link #since} until the next member is asked. */
    private int patience = TRY;

    private Avoided avoided = new Avoided(null, 0, Long.MIN_VALUE / 2);
    private long pulsed = Long.MIN_VALUE / 2;
    private long term;
    private boolean attached;
    private long ticked = Long.MIN_VALUE / 2;
    /** When the roster was asked for, and hasn't come; ms. */
    private long rosterAsked = NEVER;

    CoordinatorClient(
            Machine machine,
            FrameCodec speech,
            LinkIntroduction self,
            List<Address> members,
            int turn,
            Ear frameDispatcher) {
        this.machine = machine;
        this.speech = speech;
        this.self = self;
        this.frameDispatcher = frameDispatcher;
        this.candidates = new CoordinatorCandidates(turn);
        members(members);
    }

    /** Members of the core, as the settings name them now. */
    void members(List<Address> members) {
        candidates.seeds(members);
    }

    boolean attached() {
        return attached;
    }

    /** The highest that any helm has spoken under to this process; 0: none yet. */
    long term() {
        return term;
    }

    /** To the helm; lost where there is none. */
    boolean say(Object frame) {
        return attached && dialler != null && dialler.say(frame);
    }

    void tick(long now) {
        if (now - ticked > SLEPT) {
            pulsed = Math.max(pulsed, now - SLEPT);
        }
        ticked = now;
        if (attached && now - pulsed > ADRIFT) {
            adrift("no pulse for " + (now - pulsed) + " ms", now);
            turn(now);
        } else if (!attached && (dialler == null || now - since > patience)) {
            turn(now);
        }
    }

    private void adrift(String why, long now) {
        attached = false;
        avoided = new Avoided(dialler.to(), term, now + AVOID);
        candidates.again();
        LOG.info("adrift")
                .with("helm", dialler.to())
                .with("term", term)
                .with("why", why)
                .log();
    }

    private void turn(long now) {
        Address next = candidates.next(dialler == null ? null : dialler.to());
        if (next != null) {
            to(next, now);
        }
    }

    private void to(Address member, long now) {
        stay(TRY, now);
        if (dialler != null && dialler.to().equals(member)) {
            dialler.hurry();
            if (dialler.up()) {
                dialler.say(frameDispatcher.hello());
            }
            return;
        }
        if (dialler != null) {
            dialler.close();
        }
        dialler = new LinkDialer(machine, speech, member, this, now ^ member.hashCode());
    }

    private void stay(int ms, long now) {
        since = now;
        patience = ms;
    }

    private long now() {
        return machine.clock().nanos() / 1_000_000;
    }

    @Override
    public void up(Link link) {
        link.say(self);
        link.say(frameDispatcher.hello());
    }

    @Override
    public void heard(Link link, Object frame) {
        if (dialler == null || dialler.link() != link) {
            return;
        }
        long now = now();
        if (frame instanceof EdgeWelcome welcome) {
            welcome(welcome, now);
        } else if (frame instanceof CoordinatorHeartbeat pulse) {
            pulse(pulse, now);
        } else if (frame instanceof Roster roster) {
            if (counts(roster.term(), frame)) {
                pulsed = now;
                rosterAsked = NEVER;
                frameDispatcher.roster(roster);
            }
        } else if (frame instanceof DeltaChunk chunk) {
            if (counts(chunk.term(), frame)) {
                // Said by a helm that may act, as a pulse is.
                pulsed = now;
                frameDispatcher.chunk(chunk);
            }
        } else if (counts(term, frame)) {
            frameDispatcher.heard(frame);
        }
    }

    /** Whether a frame under this term has authority here and now. */
    private boolean counts(long under, Object frame) {
        boolean yes = attached && under == term;
        if (!yes) {
            LOG.info("not taken")
                    .with("frame", frame.getClass().getSimpleName())
                    .with("from", dialler.to())
                    .with("its term", under)
                    .with("term", term)
                    .with("attached", attached)
                    .log();
        }
        return yes;
    }

    private void welcome(EdgeWelcome welcome, long now) {
        List<Address> members = new ArrayList<>();
        welcome.members().forEach(member -> members.add(Address.parse(member)));
        candidates.members(welcome.viewNumber(), members);
        boolean named = !welcome.coordinatorAddress().isEmpty() && welcome.term() >= term;
        Address coordinator = named ? Address.parse(welcome.coordinatorAddress()) : null;
        boolean here = named && coordinator.equals(dialler.to());
        if (here && welcome.isMissing(frameDispatcher.roster())) {
            dialler.say(frameDispatcher.roster());
        }
        if (attached && named && welcome.term() == term) {
            return;
        }
        if (attached) {
            adrift(named ? "it names another helm" : "its lease has run out", now);
        }
        if (here) {
            stay(TRY, now);
        } else if (!named) {
            stay(welcome.inActiveView() ? WAIT : SHORT, now);
        } else if (coordinator.equals(avoided.coordinator())
                && welcome.term() == avoided.term()
                && now < avoided.until()) {
            stay((int) (avoided.until() - now), now);
        } else {
            to(coordinator, now);
        }
    }

    private void pulse(CoordinatorHeartbeat pulse, long now) {
        if (pulse.term() < term) {
            LOG.info("not taken")
                    .with("frame", "Pulse")
                    .with("from", dialler.to())
                    .with("its term", pulse.term())
                    .with("term", term)
                    .with("attached", attached)
                    .log();
            return;
        }
        boolean fresh = !attached || pulse.term() > term;
        pulsed = now;
        term = pulse.term();
        attached = true;
        if (fresh) {
            LOG.info("attached").with("helm", dialler.to()).with("term", term).log();
            rosterAsked = NEVER;
            frameDispatcher.attached(term);
        }
        frameDispatcher.newest(pulse.revision());
        Roster roster = frameDispatcher.roster();
        boolean behind =
                pulse.rosterNumber() > 0 && (roster.term() != pulse.term() || roster.number() < pulse.rosterNumber());
        if (behind && now - rosterAsked > ROSTER) {
            rosterAsked = now;
            dialler.say(new RosterRequest(roster.term(), roster.number()));
        }
    }

    @Override
    public void down(Link link, String why) {
        if (attached && dialler.link() == null) {
            adrift(why, now());
            stay(SHORT, now());
        }
    }
}
