package brambletray.platform.failuredetection;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** The list of edges in the {@code number}th publication by the coordinator of this term; peers are sorted by name. */
public record Roster(long term, long number, List<Peer> peers) {
    /** An empty roster, older than any published one. */
    public static final Roster NONE = new Roster(0, 0, List.of());

    /** Whether this roster supersedes {@code other}. */
    public boolean isNewerThan(Roster other) {
        return isNewer(term, number, other.term, other.number);
    }

    static boolean isNewer(long term, long number, long otherTerm, long otherNumber) {
        return term != otherTerm ? term > otherTerm : number > otherNumber;
    }

    /** The peer with this name, or null. */
    public Peer find(String name) {
        for (Peer peer : peers) {
            if (peer.name().equals(name)) {
                return peer;
            }
        }
        return null;
    }

    /** Whether a process is listed with its current state; if not, it should send its {@link EdgeHello} again. */
    public boolean contains(Peer self) {
        return self.equals(find(self.name()));
    }

    static Roster of(long term, long number, Iterable<Peer> peers) {
        List<Peer> sorted = new ArrayList<>();
        peers.forEach(sorted::add);
        sorted.sort(Comparator.comparing(Peer::name));
        return new Roster(term, number, sorted);
    }
}
