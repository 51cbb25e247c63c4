package brambletray.platform.localsystem;

/**
 * The retry rules of an operator's call: 307 is followed twice; after a failure, a 5xx, a 408 or 429, or silence the
 * next relay is called with exponential backoff; 400, 409, 412, 413 and 422 end the call, any other 4xx the third
 * time. Does no I/O.
 */
final class OperatorCallRetries {
    /** ms. */
    static final int FIRST_PAUSE = 50;

    static final int LONGEST_PAUSE = 1_000;

    private static final int FOLLOWED = 2;
    private static final int OTHERS = 3;

    /** What is to be done next. */
    sealed interface Step {
        /** Ask this relay of the list, after so many ms. */
        record Ask(int relay, int pauseMs) implements Step {}

        /** Ask where the answer said, at once. */
        record Follow(String location) implements Step {}

        /** The answer that has come is the last. */
        record End() implements Step {}
    }

    private final int relays;
    private int relay;
    private int pause = FIRST_PAUSE;
    private int followed;
    private int others;

    OperatorCallRetries(int relays, int first) {
        this.relays = relays;
        this.relay = first % relays;
    }

    Step first() {
        return new Step.Ask(relay, 0);
    }

    /** {@code status} 0: no answer; {@code location}: of a 307, or null. */
    Step next(int status, String location) {
        if (status == 307 && location != null && followed < FOLLOWED) {
            followed++;
            return new Step.Follow(location);
        }
        boolean last =
                status / 100 == 2 || status == 400 || status == 409 || status == 412 || status == 413 || status == 422;
        boolean other = status / 100 == 4 && status != 408 && status != 429;
        if (last || other && ++others >= OTHERS) {
            return new Step.End();
        }
        followed = 0;
        relay = (relay + 1) % relays;
        int now = pause;
        pause = Math.min(LONGEST_PAUSE, pause * 2);
        return new Step.Ask(relay, now);
    }
}
