package brambletray.relay.recovery;

/**
 * How far a folder had come.
 *
 * @param store number drawn when the folder's store was made
 * @param life which life of the relay wrote to it last; grows by one or more with each start
 * @param at number of the last batch that was committed; grows with each
 */
public record StoreFreshness(long store, long life, long at) {
    /** Lives beyond this are nobody's: guards the count against a note that would use it up. */
    public static final long LIFE_MOST = 1L << 48;

    /** True where what was seen came later than this folder, or beside it. */
    public boolean behind(StoreFreshness seen) {
        if (seen.store != store) {
            return seen.life >= life;
        }
        return seen.life > life || seen.life == life && seen.at > at;
    }

    /** True where it can be told of a relay at all. */
    public boolean sensible() {
        return life > 0 && life <= LIFE_MOST && at >= 0;
    }
}
