package brambletray.relay.recovery;

/**
 * How far a folder had come.
 *
 * @param storeNumber number drawn when the folder's store was made
 * @param incarnation which incarnation of the relay wrote to it last; grows by one or more with each start
 * @param batch number of the last batch that was committed; grows with each
 */
public record StoreFreshness(long storeNumber, long incarnation, long batch) {
    /** Incarnations beyond this are nobody's: guards the count against a message that would use it up. */
    public static final long MAX_INCARNATION = 1L << 48;

    /** True where what was seen came later than this folder, or beside it. */
    public boolean isBehind(StoreFreshness seen) {
        if (seen.storeNumber != storeNumber) {
            return seen.incarnation >= incarnation;
        }
        return seen.incarnation > incarnation || seen.incarnation == incarnation && seen.batch > batch;
    }

    /** True where it can be that of a relay at all. */
    public boolean isValid() {
        return incarnation > 0 && incarnation <= MAX_INCARNATION && batch >= 0;
    }
}
