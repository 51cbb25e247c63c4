package brambletray.relay.store;

/** Something that is not as it was written. {@code at}: offset in the file. */
public record Damage(String file, long at, Kind kind, String cause) {
    /** What it means. */
    public enum Kind {
        /** The end of the last write, which nobody was told of: cut off, and nothing is lost. */
        TORN_TAIL,
        /** Records that were acknowledged may be missing: what was there before it is doubtful. */
        HOLE,
        /** Bytes that hold nothing that is missed. */
        HARMLESS
    }

    @Override
    public String toString() {
        return file + " at " + at + ": " + cause;
    }
}
