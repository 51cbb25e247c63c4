package brambletray.tray.trove;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * What is done before a store can be read: finds the generation that counts, or begins the first, and cuts off what is
 * torn.
 */
final class Opening {
    /** There once a store has been made here: from then on what can't be read was lost, and not just not begun. */
    static final String BORN = "trove";

    private static final byte[] BORN_TEXT = "a store of format 1\n".getBytes(StandardCharsets.US_ASCII);

    private final Platter platter;

    Opening(Platter platter) {
        this.platter = platter;
    }

    /** The store as the last commit left it, or the one before if that is torn. */
    Vault open() throws IOException {
        List<Long> generations = Tape.generations(platter);
        if (platter.length(BORN) == 0) {
            for (long generation : generations) {
                new Tape(platter, generation).remove();
            }
            return begin();
        }
        for (int i = generations.size() - 1; i >= 0; i--) {
            Tape tape = new Tape(platter, generations.get(i));
            Vault vault = whole(tape);
            if (vault != null) {
                removeOthers(generations, tape);
                return vault;
            }
            Trove.TALE.warn("torn-generation", "generation", tape.generation(), "older", i);
        }
        throw new TroveFault("trove.broken", "no whole store in " + platter + ", generations " + generations, null);
    }

    private Vault begin() throws IOException {
        Vault vault = Vault.make(new Tape(platter, 1));
        vault.commit(List.of());
        platter.sync();
        Platter.Pen pen = platter.open(BORN, 0);
        try {
            pen.write(BORN_TEXT, 0, BORN_TEXT.length);
            pen.sync();
        } finally {
            pen.close();
        }
        platter.sync();
        return vault;
    }

    /** By its last commit, or the one before if the last is torn: only one is ever on its way to the disk. */
    private Vault whole(Tape tape) throws IOException {
        Mend mend = new Mend(tape);
        List<Long> ends = mend.ends(2);
        for (int i = 0; i < ends.size(); i++) {
            boolean cut = mend.cut(ends.get(i));
            Vault read = Vault.read(new Tape(platter, tape.generation()));
            if (read != null) {
                settle(tape, i + 1 < ends.size() ? ends.get(i + 1) : 0);
                if (cut) {
                    Trove.TALE.tell(
                            "torn-tail",
                            "generation",
                            tape.generation(),
                            "end",
                            ends.get(i),
                            "commits",
                            read.commits(),
                            "why",
                            i == 0 ? "bytes behind the last commit" : "the last commit was not whole");
                }
                return read;
            }
        }
        return null;
    }

    /**
     * Makes durable what has just been read. After a kill, a commit that had not returned may be read although it was
     * never synced, and files may stand under names that were not: who opens acts on both, so a loss of power must not
     * take them back. What lies before {@code from}, the end of the commit before, had returned and is durable already.
     */
    private void settle(Tape tape, long from) throws IOException {
        for (long file : tape.addresses()) {
            if (file + Tape.FILE_BYTES > from) {
                platter.sync(tape.name(file));
            }
        }
        platter.sync(BORN);
        platter.sync();
    }

    private void removeOthers(List<Long> generations, Tape kept) throws IOException {
        for (long generation : generations) {
            if (generation != kept.generation()) {
                new Tape(platter, generation).remove();
            }
        }
        if (generations.size() > 1) {
            platter.sync();
        }
    }
}
