package brambletray.relay.handover;

import java.util.ArrayList;
import java.util.List;

/**
 * Which of two processes owns a relay's folder, and with it all that is decided: the state machine of one of
 * them, pure. Times are passed in, ns of a clock that only moves on.
 *
 * <p>The lock of the folder is the one judge: who holds it owns, and no step here takes ownership but by
 * getting it. All else is about when to let it go and when to try for it.
 */
public final class OwnershipLease {
    /** ns; how long a new process looks for the owner, or waits for its lock. */
    public static final long SEEK_MOST = 5_500_000_000L;
    /** ns; how long it asks again where it is turned away. */
    public static final long TURNED_MOST = 1_000_000_000L;
    /** ns; how long a process that was handed the state tries for the lock. */
    public static final long RECEIVE_MOST = 1_000_000_000L;
    /** ns; how long one that let go waits for word of the successor before it tries to take back. */
    public static final long YIELD_MOST = 1_500_000_000L;
    /** ns; how long one that has lost its owner tries for the lock or another way to it. */
    public static final long BEREFT_MOST = 10_000_000_000L;

    /** Where it stands. */
    public sealed interface Phase
            permits Alone, Attended, Yielding, Yielded, Retaking, Seeking, Joined, Receiving, Bereft, Over {}

    /** It owns, and nobody is beside it. */
    public record Alone() implements Phase {}

    /** It owns, and a successor serves through it. */
    public record Attended() implements Phase {}

    /** It has let go and sent the state; the successor has not said that it owns. */
    public record Yielding(long since) implements Phase {}

    /** The successor owns; this one serves out what it has open. */
    public record Yielded() implements Phase {}

    /** It has let go, the successor is lost or could not: it tries to own again. */
    public record Retaking() implements Phase {}

    /** It is new: the folder may be free, or its owner has to be found. */
    public record Seeking(long since) implements Phase {}

    /** It serves through the owner. */
    public record Joined() implements Phase {}

    /** The state has come, and the owner has let go. */
    public record Receiving(long since) implements Phase {}

    /** It served through an owner that is out of reach. */
    public record Bereft(long since) implements Phase {}

    /** It takes no further part; {@code fault}: null where all is well. */
    public record Over(String fault) implements Phase {}

    /** What is to be done, in order. */
    public enum Step {
        /** Try for the lock, open the store: {@link #opened}, {@link #locked} or {@link #unusable}. */
        OPEN,
        /** Look for the owner and connect: {@link #joined}, {@link #turnedAway}, or nothing. */
        JOIN,
        /** Begin to listen: clients can be served from now on. */
        SERVE,
        /** Take up what the store holds, with care. */
        OWN,
        /** Go on with what was handed on, or with care where that does not fit. */
        RESUME,
        /** Tell the process that handed on that this one owns. */
        CONFIRM,
        /** Tell it that this one does not. */
        DECLINE,
        /** Let the one that asks serve through this one. */
        WELCOME,
        /** Tell the one that asks that there is no place for it. */
        TURN_AWAY,
        /** Decide no more, let the folder go, send the state; then serve out what is open. */
        HAND_ON,
        /** Tell the one beside that this one owns still: what was sent is void. */
        KEEP,
        /** The orderly end of a process that owns. */
        LEAVE,
        /** The process ends. */
        END
    }

    private Phase phase;
    private boolean leaving;

    /** A process that begins. */
    public OwnershipLease(long now) {
        phase = new Seeking(now);
    }

    public Phase phase() {
        return phase;
    }

    /** True where this process holds the lock. */
    public boolean owns() {
        return phase instanceof Alone || phase instanceof Attended;
    }

    /** True once clients can be served here, by this process or through the other. */
    public boolean serves() {
        return !(phase instanceof Seeking || phase instanceof Over);
    }

    /** True while {@link #tick} has to be called again and again. */
    public boolean restless() {
        return phase instanceof Seeking
                || phase instanceof Receiving
                || phase instanceof Bereft
                || phase instanceof Yielding
                || phase instanceof Retaking;
    }

    /** The first step. */
    public List<Step> begin() {
        return List.of(Step.OPEN);
    }

    /** The lock is this process's, and its store is open. */
    public List<Step> opened() {
        Phase before = phase;
        phase = new Alone();
        if (before instanceof Seeking) {
            return List.of(Step.OWN, Step.SERVE);
        }
        List<Step> steps = before instanceof Receiving
                ? List.of(Step.RESUME, Step.CONFIRM)
                : before instanceof Retaking ? List.of(Step.OWN, Step.KEEP) : List.of(Step.OWN, Step.CONFIRM);
        return leaving ? with(steps, Step.LEAVE) : steps;
    }

    private static List<Step> with(List<Step> steps, Step last) {
        List<Step> all = new ArrayList<>(steps);
        all.add(last);
        return all;
    }

    /** The lock is another's. */
    public List<Step> locked() {
        return phase instanceof Seeking || phase instanceof Bereft ? List.of(Step.JOIN) : List.of();
    }

    /** The lock can be had, and the store cannot be used. */
    public List<Step> unusable(String fault) {
        boolean declines = phase instanceof Receiving;
        phase = new Over(fault);
        return declines ? List.of(Step.DECLINE, Step.END) : List.of(Step.END);
    }

    /** The owner lets this process serve through it. */
    public List<Step> joined() {
        boolean fresh = phase instanceof Seeking;
        if (fresh || phase instanceof Bereft) {
            phase = new Joined();
        }
        return fresh ? List.of(Step.SERVE) : List.of();
    }

    /** The owner has no place for it: one that has just lost a process beside it may not know that yet. */
    public List<Step> turnedAway(String why, long now) {
        if (phase instanceof Seeking seeking && now - seeking.since() >= TURNED_MOST) {
            phase = new Over(why);
            return List.of(Step.END);
        }
        return List.of();
    }

    /** A new process asks to serve through this one. */
    public List<Step> asked() {
        if (phase instanceof Alone && !leaving) {
            phase = new Attended();
            return List.of(Step.WELCOME);
        }
        return List.of(Step.TURN_AWAY);
    }

    /** The connection to the other process is gone. */
    public List<Step> lost(long now) {
        if (phase instanceof Attended) {
            phase = new Alone();
        } else if (phase instanceof Joined) {
            phase = new Bereft(now);
            return List.of(Step.OPEN);
        } else if (phase instanceof Yielding || phase instanceof Yielded) {
            phase = new Retaking();
            return List.of(Step.OPEN);
        }
        return List.of();
    }

    /** This process is told to end. */
    public List<Step> leave(long now) {
        leaving = true;
        if (phase instanceof Alone) {
            return List.of(Step.LEAVE);
        }
        if (phase instanceof Attended) {
            phase = new Yielding(now);
            return List.of(Step.HAND_ON);
        }
        if (phase instanceof Seeking || phase instanceof Joined || phase instanceof Bereft) {
            phase = new Over(null);
            return List.of(Step.END);
        }
        return List.of();
    }

    /** The owner's state has come; it has let the folder go. */
    public List<Step> received(long now) {
        if (phase instanceof Joined) {
            phase = new Receiving(now);
            return List.of(Step.OPEN);
        }
        return List.of();
    }

    /** The owner has taken the folder back: what it sent is void. */
    public List<Step> kept() {
        if (phase instanceof Receiving || phase instanceof Bereft) {
            phase = leaving ? new Over(null) : new Joined();
            return leaving ? List.of(Step.END) : List.of();
        }
        return List.of();
    }

    /** The successor says that it owns. */
    public List<Step> confirmed() {
        if (phase instanceof Yielding || phase instanceof Retaking) {
            phase = new Yielded();
        }
        return List.of();
    }

    /** The successor says that it does not. */
    public List<Step> declined() {
        if (phase instanceof Yielding) {
            phase = new Retaking();
            return List.of(Step.OPEN);
        }
        return List.of();
    }

    /** Time has passed. */
    public List<Step> tick(long now) {
        if (phase instanceof Seeking seeking && now - seeking.since() >= SEEK_MOST) {
            phase = new Over("another process uses the folder, and does not hand it over");
            return List.of(Step.END);
        }
        if (phase instanceof Bereft bereft && now - bereft.since() >= BEREFT_MOST) {
            phase = new Over("the process that owns the folder is out of reach");
            return List.of(Step.END);
        }
        if (phase instanceof Receiving receiving && now - receiving.since() >= RECEIVE_MOST) {
            phase = leaving ? new Over(null) : new Bereft(now);
            return leaving ? List.of(Step.DECLINE, Step.END) : List.of(Step.DECLINE);
        }
        if (phase instanceof Yielding yielding) {
            if (now - yielding.since() < YIELD_MOST) {
                return List.of();
            }
            phase = new Retaking();
        }
        return restless() ? List.of(Step.OPEN) : List.of();
    }
}
